package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// Result is the outcome of an edit.
type Result string

// Results of an edit.
const (
	// Accepted means that the edit is in the table from Outcome.Offset on.
	Accepted Result = "Accepted"
	// Refused means that the edit lost a race or would have broken the table. It has no effect.
	Refused Result = "Refused"
	// NotApplied means that the edit could not be written. It has no effect and never will.
	NotApplied Result = "NotApplied"
	// Unknown means that the edit may be in the log, now or later.
	Unknown Result = "Unknown"
)

// Outcome says what became of an edit.
type Outcome struct {
	Result  Result
	Attempt qm.AttemptID
	// Offset is that of the decision, 0 if the edit was refused before it was written or its outcome is unknown.
	Offset qm.Offset
	// Conflicts are the winning rows of a refused edit.
	Conflicts []table.Conflict
	// Problems are the reasons of an edit that would have broken the table.
	Problems []table.Problem
	// Cause is the last error of the log if the result is NotApplied or Unknown.
	Cause error
}

// MaxEditBytes bounds the record of one edit. A sheet with 12,000 teams fits.
const MaxEditBytes = 8 << 20

// settleTime is how long an editor looks for its record after the answer was lost before it writes a void.
const decisionTimeout = 2 * time.Second

// Editor edits the table. It is not safe for concurrent use.
type Editor struct {
	log          qm.Log
	reader       *table.Reader
	newAttemptID func() qm.AttemptID
}

// NewEditor returns an editor. newAttempt may be nil for random attempt ids.
func NewEditor(log qm.Log, newAttemptID func() qm.AttemptID) *Editor {
	if newAttemptID == nil {
		newAttemptID = randomAttemptID
	}
	return &Editor{log: log, reader: table.NewReader(), newAttemptID: newAttemptID}
}

// Load reads to the end of the log and returns the table, which later calls change. It tries again until the context
// ends; the error then says what was missing.
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

// read folds one batch and returns the end of the log.
func (e *Editor) readBatch(ctx context.Context, wait time.Duration) (qm.Offset, error) {
	_, end, err := e.readBatchResults(ctx, wait)
	return end, err
}

func (e *Editor) readBatchResults(ctx context.Context, wait time.Duration) ([]table.ApplyResult, qm.Offset, error) {
	b, err := readLog(ctx, e.log, e.reader.Next(), wait)
	if err != nil {
		return nil, 0, err
	}
	verdicts, err := e.reader.ApplyBatch(b)
	if errors.Is(err, table.ErrNoSnapshot) {
		err = nil // Lost tells it, and a snapshot may still follow
	}
	return verdicts, b.NextOffset, err
}

// Apply appends the changes as one edit and waits until the fold shows what became of it, or until the context ends.
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
			return Outcome{}, errors.Errorf("the edit has %d bytes, at most %d are possible; apply the sheet in parts",
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
		cause = errors.WithMessage(err, "the answer was lost and the attempt voided")
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

// precheck refuses an edit that cannot win any more.
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

// settle reads on until the attempt is decided. If it is not known whether the edit was appended, it writes voids until
// the attempt is decided one way or the other.
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

// find reads on for a while until the attempt is decided.
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
		verdicts, _, err := e.readBatchResults(ctx, remaining)
		for _, v := range verdicts {
			if v.Attempt == id {
				out.Conflicts, out.Problems = v.Conflicts, v.Problems
			}
		}
		if err != nil {
			return out, err
		}
	}
}
