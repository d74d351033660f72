package front

import (
	"context"
	"strings"
	"time"
	"unicode/utf8"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
	"quetzalmount.dev/quetzalmount/internal/wire/caller"
)

// CreateChatCompletion implements caller.Handler. It runs a completion and returns it in one response or as an event stream.
func (h *Handler) CreateChatCompletion(
	ctx context.Context, r *caller.ChatCompletionRequest, p caller.CreateChatCompletionParams,
) (caller.CreateChatCompletionRes, error) {
	c, err := h.newCompletion(ctx, r)
	if err != nil {
		return nil, err
	}
	timeout := h.opts.RequestTimeout
	if ms, ok := p.XTimeoutMs.Get(); ok {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	run := h.startCompletion(ctx, cancel, c)
	if r.Stream.Or(false) {
		return h.streamResponse(run, c)
	}
	defer run.Close()
	return h.fullResponse(run, c)
}

func (h *Handler) newCompletion(ctx context.Context, r *caller.ChatCompletionRequest) (*qm.Completion, error) {
	t, err := teamFromContext(ctx)
	if err != nil {
		return nil, err
	}
	config, err := h.config()
	if err != nil {
		return nil, err
	}
	model, ok := config.Models[qm.ModelID(r.Model)]
	if !ok {
		return nil, qm.Refuse(qm.CodeNotFound, "find model",
			"There is no model %q; GET /v1/models lists the models.", r.Model)
	}
	c := &qm.Completion{Request: requestIDFromContext(ctx), Team: t, Model: model, MaxTokens: h.opts.DefaultOutputTokens}
	if v, ok := r.MaxTokens.Get(); ok {
		c.MaxTokens = qm.Tokens(v)
	}
	if v, ok := r.MaxCompletionTokens.Get(); ok {
		c.MaxTokens = qm.Tokens(v)
	}
	for _, m := range r.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return nil, err
		}
		if !utf8.ValidString(m.Role) || !utf8.ValidString(text) {
			return nil, errNotUTF8()
		}
		c.Messages = append(c.Messages, qm.Message{Role: m.Role, Content: text})
		c.PromptBytes += len(text)
	}
	return c, checkPromptLimit(c)
}

// checkPromptLimit refuses a prompt whose estimated length exceeds the limit of its team.
func checkPromptLimit(c *qm.Completion) error {
	limit := c.Team.Limits.MaxPromptTokens
	if n := qm.EstimateTokens(c.PromptBytes); limit > 0 && n > limit {
		return qm.Refuse(qm.CodeTooLarge, "check prompt",
			"The prompt has about %d tokens and your team may send %d; shorten it.", n, limit)
	}
	return nil
}

// contentText returns the text of a message, with its parts joined. It refuses parts other than text.
func contentText(c caller.MessageContent) (string, error) {
	if c.IsString() {
		return c.String, nil
	}
	var b strings.Builder
	for _, p := range c.MessagePartArray {
		if p.Type != "text" {
			return "", qm.Refuse(qm.CodeBadRequest, "read message",
				"Message parts of type %q are not served; send text parts.", p.Type)
		}
		b.WriteString(p.Text.Or(""))
	}
	return b.String(), nil
}

// completionRun is a completion in progress. Chunks must be drained before Err is called.
type completionRun struct {
	Chunks chan qm.Chunk
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// startCompletion starts a completion in a goroutine. cancel must cancel ctx.
func (h *Handler) startCompletion(ctx context.Context, cancel context.CancelFunc, c *qm.Completion) *completionRun {
	run := &completionRun{Chunks: make(chan qm.Chunk), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(run.done)
		defer close(run.Chunks)
		run.err = h.complete(ctx, c, func(chunk qm.Chunk) error {
			select {
			case run.Chunks <- chunk:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	return run
}

// Err waits until the completion ends and returns its error.
func (r *completionRun) Err() error {
	<-r.done
	return r.err
}

// Close cancels the completion and waits until its goroutine has returned.
func (r *completionRun) Close() {
	r.cancel()
	<-r.done
}

// complete runs the completion, records its metrics and logs its error, if any. The returned error is nil or an *quetzalmount.Error.
func (h *Handler) complete(ctx context.Context, c *qm.Completion, deliver func(qm.Chunk) error) error {
	start := time.Now()
	teamMetrics := h.deps.Meter.Team(c.Team.ID)
	err := h.deps.Completer.Complete(ctx, c, deliver)
	if err == nil {
		teamMetrics.Request(meter.Completion, qm.OutcomeDone, "", time.Since(start))
		return nil
	}
	e := qm.AsError(err)
	if ctx.Err() == context.DeadlineExceeded && e.Code == qm.CodeInternal {
		e = qm.Fail(qm.CodeTimeout, "complete", "", err)
		e.Message = "The answer was not complete before the deadline; ask for fewer tokens or try again."
	}
	teamMetrics.Request(meter.Completion, e.Outcome, e.Code, time.Since(start))
	h.deps.Log.Info("completion failed", logs.RequestID, c.Request, logs.Team, c.Team.ID, logs.Step, e.Step,
		logs.Peer, e.Peer, logs.Outcome, e.Outcome, logs.Code, e.Code, "Cause", e.Error())
	return e
}

// fullResponse waits for the end of the completion and returns it in one response.
func (h *Handler) fullResponse(run *completionRun, c *qm.Completion) (caller.CreateChatCompletionRes, error) {
	var text strings.Builder
	var last qm.Chunk
	for chunk := range run.Chunks {
		text.WriteString(chunk.Text)
		last = chunk
	}
	if err := run.Err(); err != nil {
		return nil, err
	}
	res := &caller.ChatCompletionHeaders{
		XRequestID: caller.NewOptString(string(c.Request)),
		Response: caller.ChatCompletion{
			ID: completionID(c), Object: "chat.completion", Created: time.Now().Unix(), Model: string(c.Model.ID),
			Choices: []caller.ChatChoice{{
				Message:      caller.ChatChoiceMessage{Role: "assistant", Content: text.String()},
				FinishReason: last.FinishReason,
			}},
		},
	}
	if u := last.Usage; u != nil {
		res.Response.Usage = caller.Usage{
			PromptTokens: int64(u.PromptTokens), CompletionTokens: int64(u.OutputTokens), TotalTokens: int64(u.PromptTokens + u.OutputTokens),
			CachedTokens: caller.NewOptInt64(int64(u.CachedTokens)),
		}
	}
	return res, nil
}

func completionID(c *qm.Completion) string { return "chatcmpl-" + string(c.Request) }

// streamResponse returns the completion as an event stream. It waits for the first chunk, so that an error before it still gets an
// HTTP status of its own, but for at most one heartbeat interval, so that the caller sees that the request is in progress.
func (h *Handler) streamResponse(run *completionRun, c *qm.Completion) (caller.CreateChatCompletionRes, error) {
	s := newEventStream(h, run, c)
	heartbeat := time.NewTimer(h.opts.HeartbeatInterval)
	defer heartbeat.Stop()
	select {
	case chunk, ok := <-run.Chunks:
		if !ok {
			err := run.Err()
			run.Close()
			if err != nil {
				return nil, err
			}
			return nil, qm.Fail(qm.CodeEndpointFailed, "complete", "", errEmptyAnswer)
		}
		s.writeChunk(chunk)
	case <-heartbeat.C:
		s.writeHeartbeat()
	}
	return &caller.CreateChatCompletionOKTextEventStreamHeaders{
		XRequestID: caller.NewOptString(string(c.Request)),
		Response:   caller.CreateChatCompletionOKTextEventStream{Data: s},
	}, nil
}
