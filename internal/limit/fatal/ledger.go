// Package fatal recognises requests that end the engines that run them, and keeps them away from the engines.
//
// When an engine ends, what each request that it ran asks for is accused. A run that completes acquits it of all earlier accusations. It
// is convicted after two accusations if these are of different requests and it explains most of the recent ends of engines, and after
// three if it explains a third of them: bystanders of a crash are repeated elsewhere and succeed, those that are hit twice are a single
// request, and in a series of unrelated crashes no request explains that many. Routers exchange accusations, acquittals and convictions, so
// that all of them reach the same verdict.
//
// Requests are told apart by their fingerprint, which contains the team. A team can therefore not bring another team's request under
// suspicion.
package fatal

import (
	"slices"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// evidenceWindow is how long an accusation counts. The same request from several callers or through several routers comes again within
	// that time; unrelated crashes of the same hour do not add up.
	evidenceWindow = 30 * time.Second
	// recentWindow is the time over which the ends of engines are compared with the accusations of a request.
	recentWindow = 10 * time.Second
	// simultaneous is the time within which the ends of several engines count as one: they have a common cause, such as a rack that lost
	// power, and a request that runs on several of them is accused only once.
	simultaneous = 150 * time.Millisecond
	// fewEnds convict if they are of several requests and explain the fraction fewEndsExplain of the recent ends, manyEnds if they explain
	// manyEndsExplain.
	fewEnds         = 2
	fewEndsExplain  = 0.6
	manyEnds        = 3
	manyEndsExplain = 0.35
	// minSentence is how long a convicted request is refused before a single run is allowed as a test. It doubles with each further
	// conviction, up to maxSentence.
	minSentence = 30 * time.Second
	maxSentence = 10 * time.Minute
	// maxSuspects limits the requests that are remembered.
	maxSuspects = 4096
)

// EndpointRun identifies one incarnation of an engine.
type EndpointRun struct {
	Endpoint    qm.EndpointID
	Incarnation qm.Incarnation
}

// Verdict is what may be done with a request.
type Verdict int

// Verdicts.
const (
	// Innocent requests may run.
	Innocent Verdict = iota
	// Suspect requests were accused once.
	Suspect
	// Convicted requests must not run.
	Convicted
	// OnTrial requests may run once, to find out whether they still end engines.
	OnTrial
)

// end is the end of an engine, and the request that it had run since began.
type end struct {
	run       EndpointRun
	request   qm.RequestID
	began, at time.Time
}

// suspect is a request that was accused.
type suspect struct {
	// ends are the engines that ended while they ran the request, since its last acquittal.
	ends       []end
	acquitted  time.Time
	convicted  time.Time
	sentence   time.Duration
	testedAt   time.Time
	lastChange time.Time
}

// Ledger holds the accusations and decides on them. The zero value is not usable; see NewLedger. It is not safe for concurrent use.
type Ledger struct {
	suspects map[qm.Fingerprint]*suspect
	// recent holds the recent ends of engines, whatever they ran.
	recent []end
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{suspects: make(map[qm.Fingerprint]*suspect)} }

// Accusation is the end of an engine that ran a request since Began, at the time At.
type Accusation struct {
	Fingerprint qm.Fingerprint
	Request     qm.RequestID
	Run         EndpointRun
	Began, At   time.Time
}

// Accuse records an accusation. It reports whether that was new, and whether the fingerprint became convicted by it.
func (l *Ledger) Accuse(a Accusation) (isNew, convicted bool) {
	fp, run, at := a.Fingerprint, a.Run, a.At
	l.recordEnd(run, at)
	s := l.suspects[fp]
	if s == nil {
		l.makeRoom(at)
		s = &suspect{}
		l.suspects[fp] = s
	}
	if !at.After(s.acquitted) || slices.ContainsFunc(s.ends, func(e end) bool { return e.run == run }) {
		return false, false
	}
	s.ends = append(slices.DeleteFunc(s.ends, func(e end) bool { return at.Sub(e.at) > evidenceWindow }), end{run, a.Request, a.Began, at})
	s.lastChange = at
	if l.isConvicted(s, at) {
		l.exonerate(fp, s)
		return true, false
	}
	if !l.isProven(s, at) && s.testedAt.IsZero() {
		return true, false
	}
	s.sentence = min(max(minSentence, 2*s.sentence), maxSentence)
	s.convicted, s.testedAt = at, time.Time{}
	return true, true
}

// exonerate drops the accusations of all other requests that ran only on engines whose end a convicted request explains, and that it
// explains fewer of. With fewer than manyEnds ends, a bystander may be the one that was convicted.
func (l *Ledger) exonerate(convicted qm.Fingerprint, s *suspect) {
	if len(s.ends) < manyEnds {
		return
	}
	for fp, other := range l.suspects {
		if fp == convicted || len(other.ends) == 0 || len(other.ends) >= len(s.ends) {
			continue
		}
		explained := !slices.ContainsFunc(other.ends, func(e end) bool {
			return !slices.ContainsFunc(s.ends, func(f end) bool { return f.run == e.run })
		})
		if explained {
			*other = suspect{lastChange: other.lastChange}
		}
	}
}

// isProven reports whether the accusations suffice for a conviction.
func (l *Ledger) isProven(s *suspect, now time.Time) bool {
	var recent []end
	for _, e := range l.recent {
		if now.Sub(e.at) <= recentWindow {
			recent = append(recent, e)
		}
	}
	n := distinctEnds(s.ends)
	explained := float64(n) / float64(distinctEnds(recent))
	severalRequests := slices.ContainsFunc(s.ends, func(e end) bool { return e.request != s.ends[0].request })
	return n >= fewEnds && severalRequests && explained >= fewEndsExplain || n >= manyEnds && explained >= manyEndsExplain
}

// distinctEnds counts the ends of engines, simultaneous ones once, unless a run began after the engine before had ended.
func distinctEnds(ends []end) int {
	sorted := slices.SortedFunc(slices.Values(ends), func(a, b end) int { return a.at.Compare(b.at) })
	n := 0
	var last time.Time
	for _, e := range sorted {
		if n == 0 || e.at.Sub(last) > simultaneous || !e.began.Before(last) {
			n++
			last = e.at
		}
	}
	return n
}

func (l *Ledger) recordEnd(run EndpointRun, at time.Time) {
	if slices.ContainsFunc(l.recent, func(e end) bool { return e.run == run }) {
		return
	}
	l.recent = append(slices.DeleteFunc(l.recent, func(e end) bool { return at.Sub(e.at) > evidenceWindow }), end{run: run, at: at})
}

// Acquit records that a request ran to its end. It reports whether the request was accused or convicted until then.
func (l *Ledger) Acquit(fp qm.Fingerprint, at time.Time) bool {
	s := l.suspects[fp]
	if s == nil || !at.After(s.acquitted) || len(s.ends) == 0 && s.convicted.IsZero() {
		return false
	}
	*s = suspect{acquitted: at, lastChange: at}
	return true
}

// Convict records a conviction that another router reported at a time, and that holds until another one. It reports whether it was new.
func (l *Ledger) Convict(fp qm.Fingerprint, at, until, now time.Time) bool {
	s := l.suspects[fp]
	if s == nil {
		l.makeRoom(now)
		s = &suspect{}
		l.suspects[fp] = s
	}
	if l.isConvicted(s, now) || !until.After(now) || !at.After(s.acquitted) {
		return false
	}
	s.convicted, s.sentence, s.testedAt, s.lastChange = now, until.Sub(now), time.Time{}, now
	return true
}

func (l *Ledger) isConvicted(s *suspect, now time.Time) bool {
	return !s.convicted.IsZero() && now.Before(s.convicted.Add(s.sentence))
}

// Verdict returns what may be done with a request.
func (l *Ledger) Verdict(fp qm.Fingerprint, now time.Time) Verdict {
	s := l.suspects[fp]
	switch {
	case s == nil:
		return Innocent
	case l.isConvicted(s, now):
		return Convicted
	case !s.convicted.IsZero() && s.testedAt.IsZero():
		return OnTrial
	case !s.convicted.IsZero() && now.Sub(s.testedAt) < s.sentence:
		// The result of the test is not known yet.
		return Convicted
	case !s.convicted.IsZero():
		return OnTrial
	case slices.ContainsFunc(s.ends, func(e end) bool { return now.Sub(e.at) <= evidenceWindow }):
		return Suspect
	}
	return Innocent
}

// BeginTest records that a request on trial runs.
func (l *Ledger) BeginTest(fp qm.Fingerprint, now time.Time) {
	if s := l.suspects[fp]; s != nil {
		s.testedAt = now
	}
}

// Conviction is a request that is refused.
type Conviction struct {
	Fingerprint qm.Fingerprint
	Until       time.Time
}

// Convictions returns the requests that are refused.
func (l *Ledger) Convictions(now time.Time) []Conviction {
	var out []Conviction
	for fp, s := range l.suspects {
		if l.isConvicted(s, now) {
			out = append(out, Conviction{fp, s.convicted.Add(s.sentence)})
		}
	}
	return out
}

// makeRoom removes suspects without a recent change, and the oldest one if there are too many.
func (l *Ledger) makeRoom(now time.Time) {
	if len(l.suspects) < maxSuspects {
		return
	}
	var oldest qm.Fingerprint
	var oldestAt time.Time
	for fp, s := range l.suspects {
		if s.convicted.IsZero() && now.Sub(s.lastChange) > evidenceWindow {
			delete(l.suspects, fp)
			continue
		}
		if oldestAt.IsZero() || s.lastChange.Before(oldestAt) {
			oldest, oldestAt = fp, s.lastChange
		}
	}
	if len(l.suspects) >= maxSuspects {
		delete(l.suspects, oldest)
	}
}

// Len returns the number of requests that are remembered.
func (l *Ledger) Len() int { return len(l.suspects) }
