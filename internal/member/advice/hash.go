package advice

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

// Score returns the rendezvous hashing score of a member for a key. Higher scores rank first.
func Score(key, member string) uint64 { return Combine(Hash(key), Hash(member)) }

// Hash returns the hash of a key or a member, for callers that score many pairs with Combine.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Combine returns the score of a key and a member from their hashes.
func Combine(key, member uint64) uint64 { return mix(key ^ mix(member)) }

// mix is the finaliser of SplitMix64. Without it, the scores of two members would differ in the same bits for every key.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Home returns the home instance of a team, which lends shares of the team's limits: the live member with the highest score. It returns
// false if no member is live.
func Home(team qm.TeamID, members qm.Members) (qm.Member, bool) {
	best, top, key := -1, uint64(0), Hash(string(team))
	for i := range members {
		if members[i].State != qm.Live {
			continue
		}
		if s := Combine(key, Hash(string(members[i].Instance))); best < 0 || s > top {
			best, top = i, s
		}
	}
	if best < 0 {
		return qm.Member{}, false
	}
	return members[best], true
}

// Rank returns the members in descending order of their score for the team.
func Rank(team qm.TeamID, members qm.Members) qm.Members {
	type scored struct {
		score uint64
		at    int
	}
	order := make([]scored, len(members))
	for i := range members {
		order[i] = scored{Score(string(team), string(members[i].Instance)), i}
	}
	slices.SortFunc(order, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make(qm.Members, len(members))
	for i, s := range order {
		out[i] = members[s.at]
	}
	return out
}
