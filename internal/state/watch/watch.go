// Package watch decides how long a router's read of a log may wait for new records.
//
// A read that waits can miss a record: a log that is slow may look for records, and only later begin to wait for further ones. The read then
// ends with the next record or when its time is up. All routers begin a read at the same moment, when a record has ended their reads before,
// so that all of them may miss the next record, and none can tell the others of it. The waits are therefore of different lengths, and those
// of the first routers are much shorter than the time within which a record must be in force.
package watch

import (
	"slices"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// firstWait is the wait of the first live router, as a fraction of the bound. Another half of the bound is left for a slow answer and
	// for telling the other routers.
	firstWait = 1.0 / 4
	// waitStep is the difference between the waits of a router and the next one, as a fraction of the bound. If the first routers have
	// ended and the others do not know it yet, the next one still reads in time.
	waitStep = 1.0 / 8
	// maxWatchers is the number of routers whose waits depend on the bound. All others have the longest wait, so that the reads do not grow
	// with the system.
	maxWatchers = 9
)

// Wait returns how long a read of this router, the member that is IsSelf, may wait for records that must be in force within bound, at most
// longest. A router that is not among the members is the first one. A bound of 0 means none.
func Wait(members qm.Members, bound, longest time.Duration) time.Duration {
	if bound <= 0 {
		return longest
	}
	rank := 0
	if i := slices.IndexFunc(members, func(m qm.Member) bool { return m.IsSelf }); i >= 0 {
		for _, m := range members {
			if m.Instance < members[i].Instance && m.State == qm.Live {
				rank++
			}
		}
	}
	if rank >= maxWatchers {
		return longest
	}
	return min(time.Duration((firstWait+float64(rank)*waitStep)*float64(bound)), longest)
}
