// Package fatal recognises what ends the engines that run it, whole requests and parts of prompts, and keeps it away from the engines.
//
// When an engine ends, each request that it ran is accused: the request as a whole and each part of its prompt that other requests may
// share. Completed runs count for them: as many as accusations clear a suspect. A whole request is convicted after two accusations if these
// are of different requests and it explains most of the recent ends of engines, and after three if it explains a third of them: bystanders of
// a crash are repeated elsewhere and succeed, those that are hit twice are a single request, and in a series of unrelated crashes no request
// explains that many. A part needs three, because common parts run on most engines, and one that completed lately must also have missed
// the time in which it was due to complete again. Of the suspects of one request that explain the same ends, the one that completed least and
// then the most specific one is convicted, and what a convicted one explains does not count against others.
// Routers exchange accusations, completions and convictions, so that all of them reach the same verdict.
//
// Suspects are told apart by their fingerprints, which contain the model and the text of a prompt or of a part of it, but no team: engines are
// shared by all teams, and requests of each of them with a text that ends engines end one more. A team whose requests with a shared part are
// sound clears it for all by their completions.
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
	// fewEnds convict a whole request if they are of several requests and explain the fraction fewEndsExplain of the recent ends, manyEnds
	// convict it and a part if they explain manyEndsExplain.
	fewEnds         = 2
	fewEndsExplain  = 0.6
	manyEnds        = 3
	manyEndsExplain = 0.35
	// minUnexplained is the number of ends that no convicted suspect explains, from which a part that shares others with one is convicted.
	minUnexplained = 2
	// completionWindow is the time over which completions before an end are counted.
	completionWindow = 30 * time.Second
	// expectedCompletions is the number of completions that a suspect misses before it is convicted although it completed before. A sound one
	// misses three by chance once in twenty times.
	expectedCompletions = 3
	// decisiveEnds is the number of ends of a part from which maxSpan bounds that time: fewer can be chance if it comes seldom and runs long.
	decisiveEnds = 5
	// maxSpan is the longest time without a completion that a part with decisiveEnds, or a whole request, needs for a conviction.
	maxSpan = 3 * time.Second
	// reportTime is the time within which other routers hear of a completion.
	reportTime = 300 * time.Millisecond
	// endsPerCompletion is the number of ends for each completion meanwhile that a suspect must exceed by two to be convicted: one that ends
	// engines only now and then completes in between. One that completed more often before than it ended engines is not convicted then.
	endsPerCompletion = 2
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

// suspect is a whole request or a part of a prompt that was accused.
type suspect struct {
	// ends are the engines that ended while they ran the suspect, since its last acquittal.
	ends []end
	// isPart is set for a part of a prompt.
	isPart bool
	// completedBefore is the largest number of Accusation.Completions, isUncounted is set if a router didn't know it.
	completedBefore int
	isUncounted     bool
	// completed are the requests that completed since the first of ends.
	completed  []qm.RequestID
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
	// runTime is the mean time that runs take.
	runTime time.Duration
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{suspects: make(map[qm.Fingerprint]*suspect)} }

// Accusation is the end of an engine that ran a request since Began, at the time At.
type Accusation struct {
	// Fingerprints are those of the request, as quetzalmount.Exchange.Fingerprints returns them.
	Fingerprints []qm.Fingerprint
	// Completions are the numbers of runs with each of Fingerprints that completed within completionWindow at the router that saw the end, or
	// unknownCompletions; nil for none.
	Completions []int
	Request     qm.RequestID
	Run         EndpointRun
	Began, At   time.Time
}

// Accuse records an accusation and judges it. It reports whether it was new, and which fingerprint became convicted by it, 0 if none.
func (l *Ledger) Accuse(a Accusation) (isNew bool, convicted qm.Fingerprint) {
	if !l.Record(a) {
		return false, 0
	}
	return true, l.Judge(a)
}

// Record records an accusation and reports whether it was new.
func (l *Ledger) Record(a Accusation) (isNew bool) {
	l.recordEnd(a.Run, a.At)
	convicted := l.convictedOf(a)
	for i, fp := range a.Fingerprints {
		if i < convicted {
			continue // The convicted one explains the end, unless a more specific one explains all its ends.
		}
		s := l.suspectOf(fp, a.At)
		s.isPart = i > 0
		if i < len(a.Completions) {
			s.completedBefore = max(s.completedBefore, a.Completions[i])
			s.isUncounted = s.isUncounted || a.Completions[i] == unknownCompletions
		}
		isNew = l.addEnd(s, a) || isNew
		if i == convicted {
			l.release(s)
		}
	}
	return isNew
}

// Judge returns the fingerprint that becomes convicted by a recorded accusation, 0 if none.
func (l *Ledger) Judge(a Accusation) qm.Fingerprint {
	i := l.strongest(a.Fingerprints, a.At)
	if convicted := l.convictedOf(a); convicted >= 0 {
		i = l.moreSpecific(a.Fingerprints, convicted)
	}
	if i < 0 {
		return 0
	}
	s := l.suspects[a.Fingerprints[i]]
	s.sentence = min(max(minSentence, 2*s.sentence), maxSentence)
	s.convicted, s.testedAt = a.At, time.Time{}
	l.release(s)
	return a.Fingerprints[i]
}

// convictedOf returns the index of the last convicted fingerprint of an accusation, -1 if there is none.
func (l *Ledger) convictedOf(a Accusation) int {
	for i, fp := range slices.Backward(a.Fingerprints) {
		if s := l.suspects[fp]; s != nil && l.isConvicted(s, a.At) {
			return i
		}
	}
	return -1
}

// moreSpecific returns the index of a part after the convicted one that explains all the ends of that one, which is cleared then, -1 if there
// is none. The convicted part has come with it each time; it may have been convicted first because of the report of a bystander. A part that has
// completed more often than the convicted one is the bystander itself.
func (l *Ledger) moreSpecific(accused []qm.Fingerprint, convicted int) int {
	c := l.suspects[accused[convicted]]
	for i := len(accused) - 1; i > convicted && c.isPart; i-- {
		s := l.suspects[accused[i]]
		if s == nil || s.completedBefore > c.completedBefore || len(s.completed) > len(c.completed) {
			continue
		}
		if len(s.ends) >= len(c.ends) && len(c.ends) > 0 && len(without(c.ends, s.ends)) == 0 {
			*c = suspect{isPart: true, lastChange: c.lastChange}
			return i
		}
	}
	return -1
}

// suspectOf returns the suspect with a fingerprint, which it adds if there is none.
func (l *Ledger) suspectOf(fp qm.Fingerprint, now time.Time) *suspect {
	s := l.suspects[fp]
	if s == nil {
		l.makeRoom(now)
		s = &suspect{}
		l.suspects[fp] = s
	}
	return s
}

// addEnd adds the end of an accusation to a suspect and reports whether it is new.
func (l *Ledger) addEnd(s *suspect, a Accusation) bool {
	if !a.At.After(s.acquitted) || slices.ContainsFunc(s.ends, func(e end) bool { return e.run == a.Run }) {
		return false
	}
	s.ends = slices.DeleteFunc(s.ends, func(e end) bool { return a.At.Sub(e.at) > evidenceWindow })
	if len(s.ends) == 0 {
		s.completed = nil
	}
	s.ends = append(s.ends, end{a.Run, a.Request, a.Began, a.At})
	s.lastChange = a.At
	return true
}

// strongest returns the index of the accused, those of one request, that is to be convicted, -1 if the accusations of none suffice. Among those
// that explain the most ends it is the one that completed least before, and then the most specific one: the whole request, else the last part,
// since a part comes with all parts before it.
func (l *Ledger) strongest(accused []qm.Fingerprint, now time.Time) int {
	best, most, leastCompleted := -1, 0, 0
	for n := range accused {
		i := (len(accused) - n) % len(accused)
		s := l.suspects[accused[i]]
		if s == nil || len(s.ends) == 0 {
			continue // forgotten or cleared
		}
		failedTest := !s.convicted.IsZero() && !s.testedAt.IsZero()
		if !failedTest && !l.isProven(s, now) {
			continue
		}
		if n := distinctEnds(s.ends); n > most || n == most && s.completedBefore < leastCompleted {
			best, most, leastCompleted = i, n, s.completedBefore
		}
	}
	return best
}

// release clears each other convicted suspect whose ends a convicted one explains, and that explains fewer. With fewer than manyEnds ends, a
// bystander may be the one that was convicted.
func (l *Ledger) release(convicted *suspect) {
	if len(convicted.ends) < manyEnds {
		return
	}
	for _, s := range l.suspects {
		if s == convicted || s.convicted.IsZero() || len(s.ends) == 0 || len(s.ends) >= len(convicted.ends) {
			continue
		}
		if len(without(s.ends, convicted.ends)) == 0 {
			*s = suspect{isPart: s.isPart, lastChange: s.lastChange}
		}
	}
}

// without returns the ends that are not among others.
func without(ends, others []end) []end {
	return slices.DeleteFunc(slices.Clone(ends), func(e end) bool {
		return slices.ContainsFunc(others, func(o end) bool { return o.run == e.run })
	})
}

// isProven reports whether the accusations that no convicted suspect explains as well suffice for a conviction.
func (l *Ledger) isProven(s *suspect, now time.Time) bool {
	var recent []end
	for _, e := range l.recent {
		if now.Sub(e.at) <= recentWindow {
			recent = append(recent, e)
		}
	}
	allRecent := distinctEnds(recent)
	ends, unexplained := s.ends, s.ends
	for _, other := range l.suspects {
		if other == s || !l.isConvicted(other, now) {
			continue
		}
		unexplained = without(unexplained, other.ends)
		if len(other.ends) >= len(s.ends) {
			ends, recent = without(ends, other.ends), without(recent, other.ends)
		}
	}
	// A part may come with a convicted one in each request. A single end more may be that one's too, if its report is still on the way.
	if len(ends) == 0 || s.isPart && len(unexplained) < min(len(s.ends), minUnexplained) {
		return false
	}
	if span(s.ends) < l.minSpan(s) {
		return false
	}
	n := distinctEnds(ends)
	if len(s.completed) > 0 && (n <= endsPerCompletion*len(s.completed)+1 || s.completedBefore > n || s.isUncounted && n < decisiveEnds) {
		return false
	}
	explained := float64(n) / float64(max(distinctEnds(recent), 1))
	if n >= manyEnds && explained >= manyEndsExplain {
		return true
	}
	severalRequests := slices.ContainsFunc(ends, func(e end) bool { return e.request != ends[0].request })
	return !s.isPart && n >= fewEnds && severalRequests && float64(n) >= fewEndsExplain*float64(allRecent)
}

// span returns the time between the first and the last of ends.
func span(ends []end) time.Duration {
	byTime := func(a, b end) int { return a.at.Compare(b.at) }
	return slices.MaxFunc(ends, byTime).at.Sub(slices.MinFunc(ends, byTime).at)
}

// minSpan returns the time within which a suspect that is in use would have completed somewhere if it were sound, and routers would know. If
// the completions of a part are not known, it is assumed that a run is always in progress, since several engines that ended ran it. Whole
// requests seldom complete more than once.
func (l *Ledger) minSpan(s *suspect) time.Duration {
	if s.completedBefore == 0 && !s.isUncounted {
		return 0
	}
	d := reportTime
	switch {
	case s.completedBefore > 0:
		d += expectedCompletions * completionWindow / time.Duration(s.completedBefore)
	case s.isPart:
		d += l.runTime
	}
	if len(s.ends) >= decisiveEnds || !s.isPart {
		d = min(d, maxSpan)
	}
	return d
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

// SetRunTime sets the mean time that runs take.
func (l *Ledger) SetRunTime(d time.Duration) { l.runTime = d }

func (l *Ledger) recordEnd(run EndpointRun, at time.Time) {
	if slices.ContainsFunc(l.recent, func(e end) bool { return e.run == run }) {
		return
	}
	l.recent = append(slices.DeleteFunc(l.recent, func(e end) bool { return at.Sub(e.at) > evidenceWindow }), end{run: run, at: at})
}

// Acquit records that a request with a fingerprint ran to its end, and reports whether that was new. As many completions as accusations clear
// a suspect, also a convicted one, of which runs in progress may complete; after its sentence a single one does, since that is the test.
func (l *Ledger) Acquit(fp qm.Fingerprint, request qm.RequestID, at time.Time) bool {
	s := l.suspects[fp]
	if s == nil || !at.After(s.acquitted) || len(s.ends) == 0 && s.convicted.IsZero() || slices.Contains(s.completed, request) {
		return false
	}
	s.completed = append(s.completed, request)
	s.lastChange = at
	if passedTest := !s.convicted.IsZero() && !l.isConvicted(s, at); passedTest || len(s.completed) >= len(s.ends) {
		*s = suspect{isPart: s.isPart, acquitted: at, lastChange: at}
	}
	return true
}

// Convict records a conviction by another router at a time, which holds until another one. It reports whether it was new. A conviction from
// before the last acquittal isn't: the other router doesn't know of the completions yet.
func (l *Ledger) Convict(fp qm.Fingerprint, at, until, now time.Time) bool {
	s := l.suspectOf(fp, now)
	if l.isConvicted(s, now) || !until.After(now) || !at.After(s.acquitted) {
		return false
	}
	s.convicted, s.sentence, s.testedAt, s.lastChange = at, until.Sub(at), time.Time{}, now
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

// EndsOf returns the number of engines that ended while they ran a request, since its last acquittal.
func (l *Ledger) EndsOf(fp qm.Fingerprint, request qm.RequestID) int {
	n := 0
	if s := l.suspects[fp]; s != nil {
		for _, e := range s.ends {
			if e.request == request {
				n++
			}
		}
	}
	return n
}

// ConvictedUntil returns the time until which a fingerprint is refused, zero if it is not.
func (l *Ledger) ConvictedUntil(fp qm.Fingerprint, now time.Time) time.Time {
	if s := l.suspects[fp]; s != nil && l.isConvicted(s, now) {
		return s.convicted.Add(s.sentence)
	}
	return time.Time{}
}

// AbandonTest records that the test of a fingerprint ended without a result, so that another one may follow.
func (l *Ledger) AbandonTest(fp qm.Fingerprint) {
	if s := l.suspects[fp]; s != nil {
		s.testedAt = time.Time{}
	}
}

// Conviction is a request that is refused.
type Conviction struct {
	Fingerprint qm.Fingerprint
	At, Until   time.Time
}

// Convictions returns the requests that are refused.
func (l *Ledger) Convictions(now time.Time) []Conviction {
	var out []Conviction
	for fp, s := range l.suspects {
		if l.isConvicted(s, now) {
			out = append(out, Conviction{fp, s.convicted, s.convicted.Add(s.sentence)})
		}
	}
	return out
}

// makeRoom removes suspects without a recent change, and the oldest one if there are too many, a convicted one only if all are.
func (l *Ledger) makeRoom(now time.Time) {
	if len(l.suspects) < maxSuspects {
		return
	}
	var oldest qm.Fingerprint
	var oldestSuspect *suspect
	for fp, s := range l.suspects {
		if s.convicted.IsZero() && now.Sub(s.lastChange) > evidenceWindow {
			delete(l.suspects, fp)
			continue
		}
		if oldestSuspect == nil || s.goesBefore(oldestSuspect) {
			oldest, oldestSuspect = fp, s
		}
	}
	if len(l.suspects) >= maxSuspects {
		delete(l.suspects, oldest)
	}
}

// goesBefore reports whether a suspect is to be forgotten before another one.
func (s *suspect) goesBefore(other *suspect) bool {
	if s.convicted.IsZero() != other.convicted.IsZero() {
		return s.convicted.IsZero()
	}
	return s.lastChange.Before(other.lastChange)
}

// Len returns the number of requests that are remembered.
func (l *Ledger) Len() int { return len(l.suspects) }
