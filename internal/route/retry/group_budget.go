package retry

import (
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// windowBuckets is the number of buckets into which a sliding window is divided. Counts expire one bucket at a time.
	windowBuckets = 20
	// keptBuckets is the number of buckets that are kept. The current one is not complete, so that the windowBuckets newest ones are shorter
	// than the window and these are longer.
	keptBuckets = windowBuckets + 1
)

// GroupBudgetOptions define the bound that all routers together keep for each group of endpoints: in any Window, at most Ratio times the
// requests plus Extra retries. A retry is a further attempt of a request that has already reached an endpoint.
type GroupBudgetOptions struct {
	Ratio, Extra float64
	Window       time.Duration
	// UsableFraction is the fraction of the bound that is used. The rest is a reserve, since the windows of the routers are not aligned,
	// and for routers whose share of Extra has grown within the last Window.
	UsableFraction float64
	// Routers returns the number of routers that share Extra, 0 if unknown. Its inverse is the share that this router has or will have.
	Routers func() int
	// Share returns the least share of Extra that this router had during the last d. At no time the shares of all routers add up to more
	// than one. nil means that this share is always the inverse of Routers.
	Share func(d time.Duration) float64
}

// extra returns the part of Extra that this router may use. What its share has gained within Window may have been used by the previous owner
// of the gain, for example by this router before a restart, so that only the reserve is used for it. In any window the routers use at most
// UsableFraction for the shares that they had at its start, and the reserve if all gains in that window together are at most one.
func (o *GroupBudgetOptions) extra() float64 {
	share := 0.0
	if n := o.Routers(); n > 0 {
		share = 1 / float64(n)
	}
	least := share
	if o.Share != nil {
		least = o.Share(o.Window)
	}
	return o.Extra * (o.UsableFraction*least + (1-o.UsableFraction)*max(0, share-least))
}

// GroupBudget counts the requests and retries of each group over a sliding window and allows retries within this router's share of the
// bound. It is safe for concurrent use.
type GroupBudget struct {
	opts GroupBudgetOptions

	mu     sync.Mutex
	groups map[qm.GroupID]*window
}

// window is a sliding window of counts in a ring of buckets.
type window struct {
	requests, retries [keptBuckets]int
	// current is the number of the current bucket since the Unix epoch.
	current int64
}

// NewGroupBudget returns a GroupBudget without counts.
func NewGroupBudget(opts GroupBudgetOptions) *GroupBudget {
	return &GroupBudget{opts: opts, groups: make(map[qm.GroupID]*window)}
}

// RecordRequest counts a request to a group.
func (b *GroupBudget) RecordRequest(g qm.GroupID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(g, now)
	w.requests[w.current%keptBuckets]++
}

// TakeRetry takes one retry at a group. It reports false if this router's share of the bound is used up.
func (b *GroupBudget) TakeRetry(g qm.GroupID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(g, now)
	requests, retries := 0, 0
	for i := range w.retries {
		retries += w.retries[i]
		if int64(i) != (w.current+1)%keptBuckets { // the oldest bucket, of which a part is out of the window
			requests += w.requests[i]
		}
	}
	if float64(retries+1) > b.opts.UsableFraction*b.opts.Ratio*float64(requests)+b.opts.extra() {
		return false
	}
	w.retries[w.current%keptBuckets]++
	return true
}

// currentWindow returns the window of a group after dropping the expired buckets. The caller holds mu.
func (b *GroupBudget) currentWindow(g qm.GroupID, now time.Time) *window {
	bucket := now.UnixNano() / int64(b.opts.Window/windowBuckets)
	w := b.groups[g]
	if w == nil {
		w = &window{current: bucket}
		b.groups[g] = w
	}
	for i := int64(0); w.current < bucket && i < keptBuckets; i++ {
		w.current++
		w.requests[w.current%keptBuckets], w.retries[w.current%keptBuckets] = 0, 0
	}
	w.current = max(w.current, bucket)
	return w
}
