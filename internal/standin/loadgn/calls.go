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

// callRecord is what the routers told the caller about one call.
type callRecord struct {
	team      Team
	operation string
	outcome   qm.Outcome
	// sent means that a request may have reached a router. A call that wasn't sent did not run; the outcome of one that was
	// sent but not answered is unknown.
	sent bool
}

// callBody is the body of a call. Ref is unique and matches executions with calls.
type callBody struct {
	Ref    string
	Amount int64
}

// sendCall sends a call that must not run twice, with retries. Every third call has no idempotency key.
func (r *Run) sendCall(n int64) {
	r.update(func(s *Summary) { s.Sent++ })
	ref := fmt.Sprintf("ref-%d-%d", r.opts.Seed, n)
	rec := &callRecord{team: r.opts.Teams[r.skewedIndex(len(r.opts.Teams))], outcome: qm.OutcomeUnknown}
	r.mu.Lock()
	r.calls[ref] = rec
	r.mu.Unlock()
	key := ref
	if n%3 == 2 {
		key = ""
	}
	for attempt := range maxAttempts {
		if attempt > 0 {
			r.update(func(s *Summary) { s.Retried++ })
			time.Sleep(min(time.Duration(attempt)*200*time.Millisecond, maxRetryDelay))
		}
		addresses, _ := r.addresses(rec.team)
		retry := r.attemptCall(rec, addresses[attempt%len(addresses)], n, ref, key)
		if !retry {
			return
		}
		r.dropAdvice(rec.team)
	}
}

// attemptCall sends a call once and reports whether the caller should retry it.
func (r *Run) attemptCall(rec *callRecord, address string, n int64, ref, key string) bool {
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
	status, err := r.doJSON(rec.team, http.MethodPost, url, key, body, &answer)
	if err != nil {
		// Without a key, the caller can't know whether the call ran, and must not retry it unless nothing was sent.
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

// statusUnanswered is the status of a request that may have been sent but got no complete answer.
const statusUnanswered = -1

// doJSON sends a request and decodes the response body into answer. With an error, the status is 0 if nothing was sent, and
// statusUnanswered otherwise.
func (r *Run) doJSON(t Team, method, url, key string, body []byte, answer any) (int, error) {
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
		if isDialError(err) {
			return 0, err
		}
		return statusUnanswered, err
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(answer); err != nil {
		return statusUnanswered, errors.WithMessage(err, "decode answer")
	}
	return res.StatusCode, nil
}

// verify resolves the calls with unknown outcome and compares the outcomes reported to the callers with the executions that
// the services counted.
func (r *Run) verify(ctx context.Context) error {
	r.resolveUnknown(ctx)
	ran, err := r.executionCounts()
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
			r.totals.Duplicated++
		}
		if n > 1 || rec.outcome != qm.OutcomeDone {
			r.totals.addFailure("call %s of %s: outcome %s, operation %q, ran %d times", ref, rec.team.Name, rec.outcome, rec.operation, n)
		}
		switch {
		case rec.outcome == qm.OutcomeDone && n == 0:
			r.totals.Lost++
			r.totals.addFailure("call %s of %s: done but never ran", ref, rec.team.Name)
		case rec.outcome == qm.OutcomeDone:
			r.totals.Served++
		case rec.outcome == qm.OutcomeNotRun && n > 0:
			r.totals.FalseNotRun++
		case rec.outcome == qm.OutcomeNotRun:
			r.totals.Refused++
		default:
			r.totals.Unknown++
		}
	}
	return nil
}

// resolveUnknown queries the operations with unknown outcome until all are resolved, at most maxRounds times.
func (r *Run) resolveUnknown(ctx context.Context) {
	const maxRounds, interval = 10, 500 * time.Millisecond
	for range maxRounds {
		unresolved := 0
		for _, rec := range r.unresolved() {
			addresses, _ := r.addresses(rec.team)
			url := fmt.Sprintf("http://%s/v1/services/%s/operations/%s", addresses[0], r.opts.Service, rec.operation)
			var answer struct{ Outcome qm.Outcome }
			status, err := r.doJSON(rec.team, http.MethodGet, url, "", nil, &answer)
			if err != nil || status != http.StatusOK || answer.Outcome == qm.OutcomeUnknown {
				unresolved++
				continue
			}
			rec.outcome = answer.Outcome
		}
		if unresolved == 0 || ctx.Err() != nil {
			return
		}
		time.Sleep(interval)
	}
}

// unresolved returns the calls that have an operation ID and an unknown outcome.
func (r *Run) unresolved() []*callRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unresolved []*callRecord
	for _, rec := range r.calls {
		if rec.outcome == qm.OutcomeUnknown && rec.operation != "" {
			unresolved = append(unresolved, rec)
		}
	}
	return unresolved
}

// executionCounts asks the services how often each call ran, and returns the counts by Ref.
func (r *Run) executionCounts() (map[string]int, error) {
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
