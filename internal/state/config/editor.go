package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// Result is the result of an edit.
type Result string

// Results of an edit.
const (
	// Accepted means that the edit is part of the table from Outcome.Offset on.
	Accepted Result = "Accepted"
	// Refused means that the edit conflicts with another one or would make the table invalid. It has no effect.
	Refused Result = "Refused"
	// NotApplied means that the edit could not be appended to the log. It has no effect and never will.
	NotApplied Result = "NotApplied"
	// Unknown means that the edit may take effect, now or later.
	Unknown Result = "Unknown"
)

// Outcome describes the result of an edit.
type Outcome struct {
	Result  Result
	Attempt qm.AttemptID
	// Offset is the offset of the record that decided the edit, 0 if the edit was refused before it was appended or the
	// result is unknown.
	Offset qm.Offset
	// Conflicts are the rows that changed before a refused edit.
	Conflicts []table.Conflict
	// Problems are the reasons other than conflicts for which an edit was refused.
	Problems []table.Problem
	// Cause is the last error of the log if the result is NotApplied or Unknown.
	Cause error
}

// MaxEditBytes is the maximum size of the record of one edit. It fits a sheet with 12,000 teams.
const MaxEditBytes = 8 << 20

// decisionTimeout is how long an editor looks for the record of an attempt, after which it appends a void if the
// outcome of the append is unknown.
const decisionTimeout = 2 * time.Second

// Editor edits the table. It is not safe for concurrent use.
type Editor struct {
	log          qm.Log
	reader       *table.Reader
	newAttemptID func() qm.AttemptID
}

// NewEditor returns an editor. A nil newAttemptID means random attempt IDs.
func NewEditor(log qm.Log, newAttemptID func() qm.AttemptID) *Editor {
	if newAttemptID == nil {
		newAttemptID = randomAttemptID
	}
	return &Editor{log: log, reader: table.NewReader(), newAttemptID: newAttemptID}
}

// Load reads to the end of the log and returns the table, which later calls change. It retries until the context ends
// and then returns the last error of the log, or table.ErrNoSnapshot.
func (e *Editor) Load(ctx context.Context) (*table.Table, error) {
	var retry backoff
	for {
		end, err := e.readBatch(ctx, 0)
		if err == nil && !e.reader.HasGap() && e.reader.Next() >= end {
			return e.reader.Table(), nil
		}
		if err == nil && e.reader.Next() < end {
			retry.reset()
			continue
		}
		if err == nil {
			err = table.ErrNoSnapshot
		}
		if !retry.wait(ctx) {
			return nil, errors.WithMessage(err, "load the table")
		}
	}
}

// readBatch applies one batch and returns the offset of the log's end.
func (e *Editor) readBatch(ctx context.Context, wait time.Duration) (qm.Offset, error) {
	_, end, err := e.readBatchResults(ctx, wait)
	return end, err
}

// readBatchResults applies one batch and returns the results of its records and the offset of the log's end.
func (e *Editor) readBatchResults(ctx context.Context, wait time.Duration) ([]table.ApplyResult, qm.Offset, error) {
	b, err := readLog(ctx, e.log, e.reader.Next(), wait)
	if err != nil {
		return nil, 0, err
	}
	results, err := e.reader.ApplyBatch(b)
	if errors.Is(err, table.ErrNoSnapshot) {
		err = nil // HasGap reports it, and a snapshot may still follow
	}
	return results, b.NextOffset, err
}

// Apply appends the changes as one edit and waits until its result is known or the context ends. An attempt that was
// not appended or was voided is repeated with a new ID. The error is set only for an edit that cannot be encoded or is
// too large.
func (e *Editor) Apply(ctx context.Context, changes []table.Change) (Outcome, error) {
	var cause error
	for {
		if _, err := e.Load(ctx); err != nil {
			return Outcome{Result: NotApplied, Cause: firstError(cause, err)}, nil
		}
		if out, refused := e.precheck(changes); refused {
			return out, nil
		}
		id := e.newAttemptID()
		entry := table.Entry{Edit: &table.Edit{Attempt: id, Seen: e.reader.Table().Offset(), Changes: changes}}
		data, err := entry.Encode()
		if err != nil {
			return Outcome{}, err
		}
		if len(data) > MaxEditBytes {
			return Outcome{}, errors.Errorf("the edit has %d bytes, more than the maximum of %d; apply the sheet in parts",
				len(data), MaxEditBytes)
		}
		_, err = e.log.Append(ctx, Stream, [][]byte{data})
		if errors.Is(err, qm.ErrNotAppended) {
			cause = err
			if !period.Sleep(ctx, minRetryDelay) {
				return Outcome{Result: NotApplied, Attempt: id, Cause: cause}, nil
			}
			continue
		}
		out := e.resolve(ctx, id, err == nil)
		if out.Result != NotApplied {
			return out, nil
		}
		cause = errors.WithMessage(err, "the outcome of the append was unknown and the attempt was voided")
		if ctx.Err() != nil {
			out.Cause = cause
			return out, nil
		}
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// precheck returns the outcome, and true, of an edit that would be refused on the current table.
func (e *Editor) precheck(changes []table.Change) (Outcome, bool) {
	t := e.reader.Table()
	if c := t.Conflicts(changes); len(c) > 0 {
		return Outcome{Result: Refused, Conflicts: c}, true
	}
	if p := t.Check(changes); len(p) > 0 {
		return Outcome{Result: Refused, Problems: p}, true
	}
	return Outcome{}, false
}

// resolve reads the log until the attempt is decided. If the outcome of the append is unknown, it appends voids until
// the log decides the attempt.
func (e *Editor) resolve(ctx context.Context, id qm.AttemptID, appended bool) Outcome {
	out := Outcome{Result: Unknown, Attempt: id}
	void, err := (&table.Entry{Void: &table.Void{Attempt: id}}).Encode()
	if err != nil {
		out.Cause = err
		return out
	}
	var retry backoff
	for ctx.Err() == nil {
		decided, err := e.awaitDecision(ctx, id)
		if err == nil {
			return decided
		}
		out.Cause = err
		if !appended {
			if _, err := e.log.Append(ctx, Stream, [][]byte{void}); err != nil {
				out.Cause = errors.Wrap(err, "append void")
			}
		}
		retry.wait(ctx)
	}
	return out
}

// awaitDecision reads the log until the attempt is decided. It returns an error if the log cannot be read or the
// attempt is not found within decisionTimeout.
func (e *Editor) awaitDecision(ctx context.Context, id qm.AttemptID) (Outcome, error) {
	deadline := time.Now().Add(decisionTimeout)
	out := Outcome{Attempt: id}
	for {
		if a, ok := e.reader.Table().Attempt(id); ok {
			out.Offset = a.Offset
			switch a.Status {
			case table.Accepted:
				out.Result = Accepted
			case table.Refused:
				out.Result = Refused
			case table.Voided:
				out.Result = NotApplied
			}
			return out, nil
		}
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return out, errors.Errorf("attempt %s was not found up to offset %d", id, e.reader.Table().Offset())
		}
		results, _, err := e.readBatchResults(ctx, remaining)
		for _, v := range results {
			if v.Attempt == id {
				out.Conflicts, out.Problems = v.Conflicts, v.Problems
			}
		}
		if err != nil {
			return out, err
		}
	}
}
