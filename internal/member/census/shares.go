package census

import (
	"sync"
	"time"
)

// Shares derives this router's share of a budget, one part of the number of members, from the lists of members that it reads. It is safe for
// concurrent use.
//
// Routers that start together or can't reach the registry have different lists. Therefore a router has no share until settle after its first
// read, and none from settle after its last one. The time begins anew if half of it, which is less than a membership lasts, passes without a
// read. If settle is the time within which routers that read appear in each other's lists, the shares of all routers add up to at most one: a
// router that stopped reading may not count one that joined since, which has no share yet; and one that joined after the membership of the other expired may not count that one, which has no share any more. They may add up to more if a router joins, or
// returns after it was forgotten, while another one is cut off for longer than its membership lasts, and is cut off itself when that one is back.
type Shares struct {
	settle, history time.Duration

	mu sync.Mutex
	// firstRead is the time of the read from which settle counts. lastRead is the time at which the last read began.
	firstRead, lastRead time.Duration
	// counts holds the numbers of members that were read, oldest first. It is empty before the first read.
	counts []memberCount
}

// memberCount is a number of members and the time of the first read with that number.
type memberCount struct {
	at      time.Duration
	members int
}

// NewShares returns Shares without a read. Least is asked for at most the last history.
func NewShares(settle, history time.Duration) *Shares {
	return &Shares{settle: settle, history: history}
}

// Record records a read of the members that began and ended at the given times of one clock. The number includes this router.
func (s *Shares) Record(members int, began, ended time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lapsed := len(s.counts) == 0 || began >= s.lastRead+s.settle
	// A router that hasn't settled yet may have been forgotten by the others since it read last.
	forgotten := began < s.firstRead+s.settle && began >= s.lastRead+s.settle/2
	if lapsed || forgotten {
		s.firstRead, s.counts = ended, nil
	}
	s.lastRead = began
	if n := len(s.counts); n == 0 || s.counts[n-1].members != members {
		s.counts = append(s.counts, memberCount{ended, members})
	}
	for len(s.counts) > 1 && s.counts[1].at < ended-s.history {
		s.counts = s.counts[1:]
	}
}

// Least returns the least share that this router had during the last d, from 0 to 1.
func (s *Shares) Least(d, now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.counts) == 0 || now >= s.lastRead+s.settle || now < s.firstRead+s.settle+d {
		return 0
	}
	most := 1
	for i, c := range s.counts {
		if i+1 == len(s.counts) || s.counts[i+1].at >= now-d {
			most = max(most, c.members)
		}
	}
	return 1 / float64(most)
}
