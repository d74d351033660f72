// Package share holds the limits of teams over all instances.
//
// # How a limit is divided
//
// A limit L a minute is divided into floors and a leasable rest. Each instance may spend its floor, L x FloorFraction /
// slots, without asking anybody; slots is the larger of Options.EntrySlots and the number of members it knows. The home
// of a team, advice.Home, lends the rest as tokens that the borrower must spend within quetzalmount.LeaseTime, counted by
// the monotonic clock from the moment it sent the request. Lent units are counts, not rates: a count that is spent is
// gone, so that nothing has to be taken back. Admit never waits for the network. A background loop borrows for the next
// fraction of a second when what is left falls below the recent use, so that a steady caller finds its tokens there. The
// home itself draws from its own book without a message.
//
// Of an amount G a minute a bucket has the burst B and the rate (G-B)/60 a second, so that no minute admits more than
// G. At the home the level of the bucket and the unspent loans together never exceed B. The price is a sustained rate
// below the limit: see burstShare. Buckets are empty at the start of the process. A team without traffic has no state:
// what it would have is computed from the time since the start, and state is dropped only when its buckets are full.
//
// # Bounds on over-admission
//
// In any minute the admitted requests and prompt tokens of all instances together exceed the limit by at most:
//
//   - no failure, and death or restart of any instance that is not the home: 0. Unspent loans are lost, a restarted
//     instance starts with an empty floor.
//   - death or restart of the home: 0. The new home, and the same one restarted, waits one lease after it became home, in
//     which older loans run out, and starts with an empty bucket.
//   - home paused: 0 from loans, since they run out and a home that finds that it was paused for longer than a lease
//     starts over like a new one. One Admit that was already past its check may still run.
//   - two homes at once, because two instances see different members: the leasable rate for as long as the views differ.
//   - partition: 0 once the views follow. An instance that sees less than half of the listed members live is no home, so
//     that a minority has only floors. While suspicion spreads, the bound for two homes applies.
//   - more instances than slots: L x FloorFraction x (instances/slots - 1) until the instances know all members, then 0.
//   - a limit lowered in the table: loans of at most one lease under the old limit.
//   - a limit below two requests a minute: one request, because its bucket must hold a whole one.
//
// Output tokens are reserved at admission and what is not generated is given back, to the floor or to the home, never
// above the burst. Counted by use, a minute may exceed the limit by what was given back in it of reserves from before.
// Concurrency: a request that runs beyond its instance's floor keeps its slot at the home while the instance renews it.
// An instance that is cut off takes no new ones beyond its floor, but those that run go on while others may get their
// slots: at most the leasable slots too many, for as long as those requests run. A new home counts running requests
// that instances report before it lends.
//
// # Cost of borrowing
//
// A message with its answer takes 280 bytes with one item and 413 with four (TestBorrowBytes in member/peer), and one
// message carries all teams of a home. A script that calls every 2 to 7 s through an instance that is not the home of its
// team causes 1.3 to 1.8 messages a second (TestSparseScript), an overloaded team 3.7 from each instance (TestBounds).
// With six instances there are at most five homes to ask. With 420, two instances for each of 12,000 teams make 57
// teams an instance, nearly all with different homes: that cannot fit into 3 kB/s if all are active at once. There,
// callers have to use the home of their team, which borrows nothing.
package share
