package front

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/jx"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/caller"
)

// errEmptyAnswer is returned for a completion that ended without a chunk.
var errEmptyAnswer = errors.New("the engine ended the answer before its first chunk")

// eventStream encodes a completion as server-sent events. A complete stream ends with "data: [DONE]" and an incomplete one with an
// event named error, so that clients can tell them apart.
type eventStream struct {
	handler    *Handler
	run        *completionRun
	completion *qm.Completion
	created    int64
	buf        bytes.Buffer
	ended      bool
}

var _ io.ReadCloser = (*eventStream)(nil)

func newEventStream(h *Handler, run *completionRun, c *qm.Completion) *eventStream {
	return &eventStream{handler: h, run: run, completion: c, created: time.Now().Unix()}
}

// Read implements io.Reader. It returns the next events, or a comment if there are none for the heartbeat interval.
func (s *eventStream) Read(p []byte) (int, error) {
	if s.buf.Len() == 0 && s.ended {
		return 0, io.EOF
	}
	if s.buf.Len() == 0 {
		s.waitForEvent()
	}
	return s.buf.Read(p)
}

// waitForEvent adds the next event to the buffer, or a comment after the heartbeat interval.
func (s *eventStream) waitForEvent() {
	heartbeat := time.NewTimer(s.handler.opts.HeartbeatInterval)
	defer heartbeat.Stop()
	select {
	case chunk, ok := <-s.run.Chunks:
		if !ok {
			s.finish(s.run.Err())
			return
		}
		s.writeChunk(chunk)
	case <-heartbeat.C:
		s.writeHeartbeat()
	}
}

// Close implements io.Closer. It cancels the completion if the caller disconnected before its end.
func (s *eventStream) Close() error {
	s.run.Close()
	return nil
}

// delta, choice, usage and chunkBody are the JSON objects of the completions protocol.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     qm.Tokens `json:"prompt_tokens"`
	CompletionTokens qm.Tokens `json:"completion_tokens"`
	TotalTokens      qm.Tokens `json:"total_tokens"`
	CachedTokens     qm.Tokens `json:"cached_tokens"`
}

type chunkBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (s *eventStream) writeChunk(chunk qm.Chunk) {
	body := chunkBody{
		ID: completionID(s.completion), Object: "chat.completion.chunk", Created: s.created, Model: string(s.completion.Model.ID),
		Choices: []choice{{Delta: delta{Content: chunk.Text}}},
	}
	if chunk.Number == 0 {
		body.Choices[0].Delta.Role = "assistant"
	}
	if chunk.FinishReason != "" {
		body.Choices[0].FinishReason = &chunk.FinishReason
	}
	if u := chunk.Usage; u != nil {
		body.Usage = &usage{
			PromptTokens: u.PromptTokens, CompletionTokens: u.OutputTokens, TotalTokens: u.PromptTokens + u.OutputTokens, CachedTokens: u.CachedTokens,
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		// Can't happen: the body has only strings and numbers.
		panic(err)
	}
	s.buf.WriteString("data: ")
	s.buf.Write(data)
	s.buf.WriteString("\n\n")
}

func (s *eventStream) writeHeartbeat() { s.buf.WriteString(": waiting\n\n") }

// finish adds the last event of the stream. err is the error of the completion, if any.
func (s *eventStream) finish(err error) {
	s.ended = true
	if err == nil {
		s.buf.WriteString("data: [DONE]\n\n")
		return
	}
	body := caller.ErrorBody{Error: errorDetail(context.WithValue(context.Background(), requestIDContextKey, s.completion.Request), qm.AsError(err))}
	var e jx.Encoder
	body.Encode(&e)
	s.buf.WriteString("event: error\ndata: ")
	s.buf.Write(e.Bytes())
	s.buf.WriteString("\n\n")
}
