package relay

import (
	"context"
	"slices"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/fatal"
)

// maxEndsOfRequest is the number of engines that may end under one request before it is not sent to a further one.
const maxEndsOfRequest = 2

// refuseFatal refuses a completion that must not run because it, or one of its messages, ends engines. If the last engine may have ended, it
// waits until that is known.
func (j *job) refuseFatal(ctx context.Context) error {
	if j.relay.deps.Fatal == nil {
		return nil
	}
	if len(j.checked) > 0 {
		for _, checked := range j.checked {
			select {
			case <-checked:
			case <-ctx.Done():
				return qm.Fail(qm.CodeTimeout, "place", "", context.Cause(ctx))
			}
		}
		if n := j.relay.deps.Fatal.EndsOf(j.fingerprints, j.completion.Request); n >= maxEndsOfRequest {
			return qm.Refuse(qm.CodeFatalRequest, "place", "%d engines ended while they ran this request; it is not sent to another one", n)
		}
	}
	if fp := j.relay.deps.Fatal.Refused(j.fingerprints); fp != 0 {
		return j.fatalError(fp)
	}
	return nil
}

// checkSilent has the engines checked at which the completion still runs, since they are silent and may have ended.
func (j *job) checkSilent() {
	for _, e := range j.runs {
		if e.fatal == nil {
			continue
		}
		j.checked = append(j.checked, e.fatal.Interrupted())
		// The engine may go on; a refusal means that it must not, and that place refuses the completion too.
		e.fatal, _ = j.relay.deps.Fatal.Begin(j.fingerprints, j.completion.Request, e.endpoint, j.cancel)
	}
}

// beginRun registers a run of the completion at an engine. It returns nil without Deps.Fatal.
func (j *job) beginRun(d qm.Placement) (*fatal.Run, error) {
	if j.relay.deps.Fatal == nil {
		return nil, nil
	}
	run, refused := j.relay.deps.Fatal.Begin(j.fingerprints, j.completion.Request, d.Endpoint, j.cancel)
	if refused != 0 {
		return nil, j.fatalError(refused)
	}
	j.checked = nil
	return run, nil
}

// endRun ends the run at an engine, whose error is err.
func (j *job) endRun(ctx context.Context, e *engineRun, mayHaveRun bool, err error) {
	switch {
	case e.fatal == nil:
	case err == nil:
		e.fatal.Completed()
	case mayHaveRun && ctx.Err() == nil:
		j.checked = append(j.checked, e.fatal.Interrupted())
	default:
		e.fatal.Abandoned()
	}
}

// fatalError returns the refusal of a completion with a convicted fingerprint. It tells the caller which message is refused and until when.
func (j *job) fatalError(fp qm.Fingerprint) error {
	until := "shortly"
	if at := j.relay.deps.Fatal.RefusedUntil(fp); !at.IsZero() {
		until = "until " + at.UTC().Format(time.TimeOnly) + " UTC"
	}
	i := slices.Index(j.fingerprints, fp)
	if i < 1 {
		return qm.Refuse(qm.CodeFatalRequest, "admit",
			"Equal requests ended the engines that ran them. Nothing was run; the request is refused %s, other requests are served.", until)
	}
	return qm.Refuse(qm.CodeFatalRequest, "admit",
		"Requests with message %d (role %q) ended the engines that ran them. Nothing was run; requests with it are refused %s, others are served.",
		i, j.completion.Messages[i-1].Role, until)
}

// stoppedError returns the error of a completion that was stopped by a conviction while it ran. err is the one that it ended with.
func (j *job) stoppedError(err error) error {
	e := *qm.AsError(err)
	e.Code, e.Step, e.Message = qm.CodeFatalRequest, "stream", "this request, or others with the same message, ended the engines that ran them; it was stopped"
	return &e
}
