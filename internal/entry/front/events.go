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

// errEmptyAnswer marks an answer that ended without any chunk.
var errEmptyAnswer = errors.New("the engine ended the answer before its first chunk")

// events is the answer of a completion as server-sent events. It ends with "data: [DONE]" if the answer is whole and with an
// event named error otherwise, so that a short answer is never taken for a whole one.
type events struct {
	h       *Handler
	run     *completionRun
	c       *qm.Completion
	created int64
	buf     bytes.Buffer
	ended   bool
}

var _ io.ReadCloser = (*events)(nil)

func newEvents(h *Handler, run *completionRun, c *qm.Completion) *events {
	return &events{h: h, run: run, c: c, created: time.Now().Unix()}
}

// Read returns the next events. While there are none it sends a comment from time to time.
func (s *events) Read(p []byte) (int, error) {
	if s.buf.Len() == 0 && s.ended {
		return 0, io.EOF
	}
	if s.buf.Len() == 0 {
		s.wait()
	}
	return s.buf.Read(p)
}

func (s *events) wait() {
	beat := time.NewTimer(s.h.opts.Heartbeat)
	defer beat.Stop()
	select {
	case chunk, ok := <-s.run.Chunks:
		if !ok {
			s.end(s.run.Err())
			return
		}
		s.add(chunk)
	case <-beat.C:
		s.addHeartbeat()
	}
}

// Close ends the completion, also when the caller has left before its end.
func (s *events) Close() error {
	s.run.Close()
	return nil
}

// delta, choice, usage and chunkBody follow the completions protocol.
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

func (s *events) add(chunk qm.Chunk) {
	body := chunkBody{
		ID: completionID(s.c), Object: "chat.completion.chunk", Created: s.created, Model: string(s.c.Model.ID),
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
		// The body holds only strings and numbers, which always marshal.
		panic(err)
	}
	s.buf.WriteString("data: ")
	s.buf.Write(data)
	s.buf.WriteString("\n\n")
}

func (s *events) addHeartbeat() { s.buf.WriteString(": waiting\n\n") }

func (s *events) end(err error) {
	s.ended = true
	if err == nil {
		s.buf.WriteString("data: [DONE]\n\n")
		return
	}
	body := caller.ErrorBody{Error: detail(context.WithValue(context.Background(), requestKey, s.c.Request), qm.AsError(err))}
	var e jx.Encoder
	body.Encode(&e)
	s.buf.WriteString("event: error\ndata: ")
	s.buf.Write(e.Bytes())
	s.buf.WriteString("\n\n")
}
