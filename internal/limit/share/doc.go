// Package share enforces the limits of teams across all instances.
//
// # Division of a limit
//
// A limit of L a minute is divided into one floor for each instance and a leasable rest. An instance spends its floor,
// L x FloorFraction / n, without asking any other instance; n is the larger of Options.EntrySlots and the number of
// members that the instance knows. The home of a team, advice.Home, lends the rest as tokens that the borrower must spend
// within quetzalmount.LeaseTime, counted by the monotonic clock from the moment the borrower sent the request. Loans are
// counts, not rates: spent units need no revocation. Admit never waits for the network. When the units left fall short of
// the recent use, a background loop borrows for the next fraction of a second, so that a steady caller finds its tokens
// already there. The home draws on the leasable rest itself without a message.
//
// For an amount G a minute, a token bucket has the burst B and the rate (G-B)/60 a second, so that no minute admits more
// than G. At the home, the level of the bucket and the unspent loans together never exceed B. The cost is a sustained rate
// below the limit: see burstFraction. Buckets are empty when the process starts. A team without traffic has no state: its
// bucket levels are computed from the time since the start, and its state is evicted only when its buckets are full.
//
// # Bounds on over-admission
//
// In any minute, the requests and prompt tokens admitted by all instances together exceed the limit by at most:
//
//   - no failure, or crash or restart of any instance but the home: 0. Unspent loans are lost, and a restarted instance
//     starts with an empty floor.
//   - crash or restart of the home: 0. A new home, and a restarted one, waits one lease time after it became home, while
//     older loans expire, and starts with an empty bucket.
//   - home paused: 0 from loans, since they expire and a home that detects a pause longer than a lease starts over as a new
//     home. One Admit call that had already passed the check may still complete.
//   - two homes at once, because two instances have different membership views: the leasable rate while the views differ.
//   - partition: 0 once the views have followed. An instance that sees less than half of the listed members live is not a
//     home, so that a minority has only its floors. While suspicion spreads, the bound for two homes applies.
//   - more instances than EntrySlots: L x FloorFraction x (instances/EntrySlots - 1) until the instances know all members,
//     then 0.
//   - a limit lowered in the table: loans of at most one lease under the old limit.
//   - a limit below two requests a minute: one request, because its bucket must hold a whole request.
//
// Output tokens are reserved at admission, and the unused part of a reservation is returned to the floor or to the home,
// never above the burst. Measured by use, a minute may exceed the limit by what was returned in it from earlier
// reservations.
//
// For concurrency, a request that runs above its instance's floor keeps its slot at the home for as long as the instance
// renews it. A partitioned instance admits no more requests above its floor, but those already running continue while
// others may be granted their slots: the excess is at most the leasable slots, for as long as those requests run. A new
// home counts the running requests that instances report before it lends.
//
// # Quotas
//
// A quota is a rate a second with a burst, in requests or tokens (quetzalmount.Quota). It has no floors and no loans in advance: the home grants the
// units of one request as a whole, or none; see AdmitQuota. In any window the requests of a team are charged at most rate x (window + quotaLease) +
// burst, with the QuotaTolerance added, but for the rate of a second home while the views of the instances differ.
//
// # Cost of borrowing
//
// A request message with its answer takes 280 bytes with one item and 413 with four (TestBorrowBytes in member/peer), and
// one message carries all teams of a home. A client that sends a request every 2 to 7 s through an instance that is not the
// home of its team causes 1.3 to 1.8 messages a second (TestSparseScript); an overloaded team causes 3.7 from each instance
// (TestBounds). With six instances there are at most five homes to ask. With 420 instances and two of them for each of
// 12,000 teams, an instance serves 57 teams, nearly all with different homes: if all are active at once, that exceeds
// 3 kB/s. There, callers have to use the home of their team, which borrows nothing.
package share
