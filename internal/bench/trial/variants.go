package trial

import (
	"strconv"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/place"
)

// Variants returns the policies that docs/PLACEMENT.md weighs: consistent hashing and the router's policy with the prefix
// at other levels, and the router's policy without one of its parts.
func Variants() []Policy {
	var all []Policy
	for _, share := range []float64{0, 0.4, 0.7, 0.99} {
		all = append(all, Policy{
			Name: "hash " + strconv.FormatFloat(share, 'f', 2, 64),
			New:  func(*world) qm.Placer { return place.NewHash(share) },
		})
	}
	for _, share := range []float64{0.4, 0.7, 0.99} {
		all = append(all, Policy{
			Name: "pair " + strconv.FormatFloat(share, 'f', 2, 64),
			New:  func(*world) qm.Placer { return place.NewPair(share) },
		})
	}
	ours := func(name string, edit func(*place.Options)) {
		opt := place.Defaults()
		edit(&opt)
		all = append(all, Policy{Name: name, New: func(*world) qm.Placer { return place.New(opt) }})
	}
	ours("greedy", func(o *place.Options) {
		o.RecomputePenalty, o.OffHomePenalty, o.NoEventsPenalty, o.MinLoadBound = 0, 0, 0, 1000
	})
	for _, again := range []float64{0, 1, 4, 8} {
		ours("again "+strconv.FormatFloat(again, 'f', 1, 64), func(o *place.Options) { o.RecomputePenalty = again })
	}
	for _, stray := range []float64{0, 1, 2, 4, 8} {
		ours("stray "+strconv.FormatFloat(stray, 'f', 1, 64), func(o *place.Options) { o.OffHomePenalty = stray })
	}
	for _, width := range []float64{1, 1.5, 3, 5} {
		ours("width "+strconv.FormatFloat(width, 'f', 1, 64), func(o *place.Options) { o.ReplicationFactor = width })
	}
	ours("no sample", func(o *place.Options) { o.MinRequests = 0 })
	for _, share := range []float64{0.4, 0.7, 0.99} {
		ours("plain "+strconv.FormatFloat(share, 'f', 2, 64), func(o *place.Options) { o.MinCoverage, o.HashShare = 2, share })
		ours("both "+strconv.FormatFloat(share, 'f', 2, 64), func(o *place.Options) { o.HashShare = share })
	}
	ours("kept 0", func(o *place.Options) { o.MinRetained = 0 })
	ours("kept 0.5", func(o *place.Options) { o.MinRetained = 0.5 })
	ours("event lag 2 s", func(o *place.Options) { o.EventLag = 2 * time.Second })
	all = append(all, Policy{Name: "deaf", New: func(*world) qm.Placer {
		return struct{ qm.Placer }{place.New(place.Defaults())}
	}})
	ours("no lots", func(o *place.Options) { o.TieTolerance = 0 })
	ours("lots 0.1", func(o *place.Options) { o.RelativeTieTolerance = 0.1 })
	ours("bound 1.25", func(o *place.Options) { o.LoadFactor, o.MinLoadBound = 1.25, 1 })
	ours("bound 2", func(o *place.Options) { o.LoadFactor = 2 })
	ours("bound 8", func(o *place.Options) { o.LoadFactor = 8 })
	return append(all, imports()...)
}

// imports returns policies whose engines import what another engine holds. The assumed costs are for 131 KB of KV cache per
// token, as of a model with 32 layers and 8 heads of 128 values of 2 bytes: 13 us a token at 10 GB/s, 42 us at 3.1 GB/s.
// Prefill takes 25 us a token.
func imports() []Policy {
	var all []Policy
	for _, p := range Policies() {
		for _, each := range []time.Duration{13 * time.Microsecond, 42 * time.Microsecond} {
			if !p.Pool {
				all = append(all, Policy{Name: p.Name + " import " + each.String(), New: p.New, Import: each})
			}
		}
	}
	return all
}
