package retry

import (
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// ledgerParts is the number of parts of a ledger's window. Counts leave the window a part at a time.
const ledgerParts = 20

// LedgerOptions are the bound that all routers keep together for each group of endpoints: in any Window, at most Ratio times the
// requests and Extra more arrivals beyond the first of each request.
type GroupBudgetOptions struct {
	Ratio, Extra float64
	Window       time.Duration
	// Margin is the part of the bound that is used. The rest covers windows of other routers that begin at other times and
	// routers that restart without their counts.
	UsableFraction float64
	// Routers returns the number of routers that share Extra, 0 if it is not known.
	Routers func() int
}

// Ledger counts requests and repeated arrivals of each group and allows repeats within this router's part of the bound. It is safe
// for concurrent use.
type GroupBudget struct {
	opts GroupBudgetOptions

	mu     sync.Mutex
	groups map[qm.GroupID]*window
}

// window counts in a ring of parts.
type window struct {
	requests, repeats [ledgerParts]int
	// at is the number of the current part since the epoch of the clock.
	at int64
}

// NewLedger returns an empty ledger.
func NewGroupBudget(opts GroupBudgetOptions) *GroupBudget {
	return &GroupBudget{opts: opts, groups: make(map[qm.GroupID]*window)}
}

// Request counts a request to a group.
func (l *GroupBudget) AddRequest(g qm.GroupID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(g, now)
	w.requests[w.at%ledgerParts]++
}

// Spend takes one repeat. It reports false if this router's part of the bound is used up.
func (l *GroupBudget) Spend(g qm.GroupID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(g, now)
	requests, repeats := 0, 0
	for i := range ledgerParts {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	extra := 0.0
	if n := l.opts.Routers(); n > 0 {
		extra = l.opts.Extra / float64(n)
	}
	if float64(repeats+1) > l.opts.UsableFraction*(l.opts.Ratio*float64(requests)+extra) {
		return false
	}
	w.repeats[w.at%ledgerParts]++
	return true
}

// window returns the counts of a group without those that are too old. The caller holds mu.
func (l *GroupBudget) window(g qm.GroupID, now time.Time) *window {
	at := now.UnixNano() / int64(l.opts.Window/ledgerParts)
	w := l.groups[g]
	if w == nil {
		w = &window{at: at}
		l.groups[g] = w
	}
	for i := int64(0); w.at < at && i < ledgerParts; i++ {
		w.at++
		w.requests[w.at%ledgerParts], w.repeats[w.at%ledgerParts] = 0, 0
	}
	w.at = max(w.at, at)
	return w
}
