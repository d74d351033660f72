package loadgn

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/engsrv"
)

// maxAttempts is the maximum number of times that a caller sends a request.
const maxAttempts = 12

// maxRetryDelay is the maximum delay between two attempts.
const maxRetryDelay = 500 * time.Millisecond

// Errors of one attempt.
var (
	errTruncated   = errors.New("stream ended without [DONE]")
	errWrongAnswer = errors.New("answer does not match the prompt")
	errRefused     = errors.New("request refused")
	errFailed      = errors.New("request failed")
)

// sendCompletion sends a completion, with retries. A truncated or wrong answer isn't retried.
func (r *Run) sendCompletion(n int64) {
	r.update(func(s *Summary) { s.Sent++ })
	t := r.opts.Teams[r.skewedIndex(len(r.opts.Teams))]
	p := r.newPrompt(t.Name, n)
	model := r.opts.Models[n%int64(len(r.opts.Models))]
	body, err := json.Marshal(map[string]any{
		"model": model, "messages": p.messages, "stream": true, "max_tokens": r.opts.MaxTokens,
	})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	for attempt := range maxAttempts {
		if attempt > 0 {
			r.update(func(s *Summary) { s.Retried++ })
			time.Sleep(min(time.Duration(attempt)*100*time.Millisecond, maxRetryDelay))
		}
		err = r.attemptAnywhere(t, attempt, p, body)
		if errors.Is(err, errTruncated) || errors.Is(err, errWrongAnswer) {
			r.update(func(s *Summary) {
				s.addFailure("completion %d of %s: %v", n, t.Name, err)
				if errors.Is(err, errTruncated) {
					s.Short++
				} else {
					s.Wrong++
				}
			})
			return
		}
		if err == nil {
			r.update(func(s *Summary) { s.Served++ })
			return
		}
		r.dropAdvice(t)
	}
	r.update(func(s *Summary) {
		s.addFailure("completion %d of %s: %v", n, t.Name, err)
		if errors.Is(err, errRefused) {
			s.Refused++
		} else {
			s.Lost++
		}
	})
}

// attemptAnywhere sends a completion once, to the first address that accepts the connection, from the one whose turn it is.
func (r *Run) attemptAnywhere(t Team, attempt int, p prompt, body []byte) error {
	addresses, advised := r.addresses(t)
	var err error
	for i := range addresses {
		at := (attempt + i) % len(addresses)
		if err = r.attemptCompletion(t, addresses[at], p, body); !isDialError(err) {
			return err
		}
		if at < advised {
			r.update(func(s *Summary) {
				s.AdvisedDown++
				s.addFailure("advised address: %v", err)
			})
		}
	}
	return err
}

// skewedIndex returns a random index below n. Low indexes are more frequent than high ones.
func (r *Run) skewedIndex(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(r.rnd.IntN(n), r.rnd.IntN(n))
}

// attemptCompletion sends a completion once and checks its answer.
func (r *Run) attemptCompletion(t Team, address string, p prompt, body []byte) error {
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return errors.WithMessage(errFailed, err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+t.Key)
	req.Header.Set("Content-Type", "application/json")
	res, err := r.client.Do(req)
	if isDialError(err) {
		return err
	}
	if err != nil {
		return errors.WithMessage(errFailed, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.WithMessage(errRefused, res.Status)
	}
	s := stream{reader: bufio.NewReader(res.Body), start: start}
	if err := s.read(); err != nil {
		return err
	}
	if s.text.String() != engsrv.AnswerText(p.messages, qm.Tokens(r.opts.MaxTokens)) {
		return errWrongAnswer
	}
	r.recordAnswer(t.Name, s.ttft, p, s.usage.Prompt, s.usage.Cached)
	return nil
}

// stream reads the server-sent events of one answer.
type stream struct {
	reader *bufio.Reader
	start  time.Time
	ttft   time.Duration
	text   strings.Builder
	usage  struct {
		Prompt qm.Tokens `json:"prompt_tokens"`
		Cached qm.Tokens `json:"cached_tokens"`
	}
}

// read reads events until [DONE].
func (s *stream) read() error {
	failed := false
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			// A caller notices a broken connection, but not a response body that ends regularly without [DONE].
			if errors.Is(err, io.EOF) {
				return errTruncated
			}
			return errors.WithMessage(errFailed, err.Error())
		}
		line = strings.TrimSpace(line)
		switch {
		case line == "event: error":
			failed = true
		case line == "data: [DONE]":
			return nil
		case strings.HasPrefix(line, "data: "):
			if failed {
				return errors.WithMessage(errFailed, line)
			}
			if err := s.addChunk([]byte(line[len("data: "):])); err != nil {
				return err
			}
		}
	}
}

// addChunk appends the text of one chunk and keeps its token counts.
func (s *stream) addChunk(data []byte) error {
	body := struct {
		Choices []struct {
			Delta struct{ Content string }
		}
		Usage any
	}{Usage: &s.usage}
	if err := json.Unmarshal(data, &body); err != nil || len(body.Choices) != 1 {
		return errWrongAnswer
	}
	if s.ttft == 0 {
		s.ttft = time.Since(s.start)
	}
	s.text.WriteString(body.Choices[0].Delta.Content)
	return nil
}
