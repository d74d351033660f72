package loadgn

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// callRecord is what the caller was told about one call.
type callRecord struct {
	team      Team
	operation string
	outcome   qm.Outcome
	// sent tells that a request went out; the outcome of a call that was sent and not answered is open.
	sent bool
}

// callBody is the body of a call. Ref is unique, so that executions can be matched with calls.
type callBody struct {
	Ref    string
	Amount int64
}

// call sends one call that must not run twice. Every third has no idempotency key.
func (r *Run) call(n int64) {
	r.count(func(s *Summary) { s.Sent++ })
	ref := fmt.Sprintf("ref-%d-%d", r.opts.Seed, n)
	rec := &callRecord{team: r.opts.Teams[r.pick(len(r.opts.Teams))], outcome: qm.OutcomeUnknown}
	r.mu.Lock()
	r.calls[ref] = rec
	r.mu.Unlock()
	key := ref
	if n%3 == 2 {
		key = ""
	}
	for try := range maxTries {
		if try > 0 {
			r.count(func(s *Summary) { s.Retried++ })
			time.Sleep(min(time.Duration(try)*200*time.Millisecond, maxPause))
		}
		addresses := r.addresses(rec.team)
		again := r.tryCall(rec, addresses[try%len(addresses)], n, ref, key)
		if !again {
			return
		}
		r.forget(rec.team)
	}
}

// tryCall sends a call once and reports whether the caller should send it again.
func (r *Run) tryCall(rec *callRecord, address string, n int64, ref, key string) bool {
	body, err := json.Marshal(callBody{Ref: ref, Amount: n})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	url := fmt.Sprintf("http://%s/v1/services/%s/calls/%s", address, r.opts.Service, r.opts.Calls[n%int64(len(r.opts.Calls))])
	var answer struct {
		Operation string
		Outcome   qm.Outcome
		Error     struct {
			Outcome   qm.Outcome
			Operation string
		}
	}
	status, err := r.exchange(rec.team, http.MethodPost, url, key, body, &answer)
	if err != nil {
		// Without a key the caller cannot know whether the call ran, and must not send it again unless nothing was sent.
		rec.sent = rec.sent || status != 0
		return key != "" || status == 0
	}
	outcome, operation := answer.Outcome, answer.Operation
	if answer.Error.Outcome != "" {
		outcome, operation = answer.Error.Outcome, answer.Error.Operation
	}
	rec.sent, rec.outcome, rec.operation = true, outcome, operation
	if outcome == qm.OutcomeNotRun && status != http.StatusConflict {
		return true
	}
	return outcome == qm.OutcomeUnknown && key != ""
}

// sentStatus stands for a request that was sent but not answered.
const sentStatus = -1

// exchange sends a request and decodes the answer. The status is 0 if the connection was refused.
func (r *Run) exchange(t Team, method, url, key string, body []byte, answer any) (int, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+t.Key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := r.client.Do(req)
	if err != nil {
		if isRefused(err) {
			return 0, err
		}
		return sentStatus, err
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(answer); err != nil {
		return sentStatus, errors.WithMessage(err, "decode answer")
	}
	return res.StatusCode, nil
}

// verify looks up the calls whose outcome is open and compares what the callers were told with what the services ran.
func (r *Run) verify(ctx context.Context) error {
	r.resolve(ctx)
	ran, err := r.executions()
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, rec := range r.calls {
		n := ran[ref]
		if !rec.sent {
			rec.outcome = qm.OutcomeNotRun
		}
		if n > 1 {
			r.sum.Duplicated++
		}
		if n > 1 || rec.outcome != qm.OutcomeDone {
			r.sum.fail("call %s of %s: outcome %s, operation %q, ran %d times", ref, rec.team.Name, rec.outcome, rec.operation, n)
		}
		switch {
		case rec.outcome == qm.OutcomeDone && n == 0:
			r.sum.Lost++
			r.sum.fail("call %s of %s: done but never ran", ref, rec.team.Name)
		case rec.outcome == qm.OutcomeDone:
			r.sum.Served++
		case rec.outcome == qm.OutcomeNotRun && n > 0:
			r.sum.FalseNotRun++
		case rec.outcome == qm.OutcomeNotRun:
			r.sum.Refused++
		default:
			r.sum.Unknown++
		}
	}
	return nil
}

// resolve looks up open operations a few times.
func (r *Run) resolve(ctx context.Context) {
	const rounds, pause = 10, 500 * time.Millisecond
	for range rounds {
		open := 0
		for _, rec := range r.open() {
			addresses := r.addresses(rec.team)
			url := fmt.Sprintf("http://%s/v1/services/%s/operations/%s", addresses[0], r.opts.Service, rec.operation)
			var answer struct{ Outcome qm.Outcome }
			status, err := r.exchange(rec.team, http.MethodGet, url, "", nil, &answer)
			if err != nil || status != http.StatusOK || answer.Outcome == qm.OutcomeUnknown {
				open++
				continue
			}
			rec.outcome = answer.Outcome
		}
		if open == 0 || ctx.Err() != nil {
			return
		}
		time.Sleep(pause)
	}
}

func (r *Run) open() []*callRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*callRecord
	for _, rec := range r.calls {
		if rec.outcome == qm.OutcomeUnknown && rec.operation != "" {
			open = append(open, rec)
		}
	}
	return open
}

// executions asks the services which calls they ran and how often.
func (r *Run) executions() (map[string]int, error) {
	ran := make(map[string]int)
	for _, address := range r.opts.Services {
		res, err := r.client.Get("http://" + address + "/admin/executions")
		if err != nil {
			return nil, errors.WithMessagef(err, "read executions of %s", address)
		}
		var body struct {
			Order []struct{ Body callBody }
		}
		err = json.NewDecoder(res.Body).Decode(&body)
		_ = res.Body.Close()
		if err != nil {
			return nil, errors.WithMessagef(err, "decode executions of %s", address)
		}
		for _, e := range body.Order {
			ran[e.Body.Ref]++
		}
	}
	return ran, nil
}
