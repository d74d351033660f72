package trial

import (
	"strconv"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/place"
)

// Variants returns the policies that docs/PLACEMENT.md compares: consistent hashing and the router's policy with other
// lengths of the hashed prefix, and the router's policy without one of its parts or with other parameters.
func Variants() []Policy {
	var all []Policy
	for _, share := range []float64{0, 0.4, 0.7, 0.99} {
		all = append(all, Policy{
			Name: "hash " + strconv.FormatFloat(share, 'f', 2, 64),
			New:  func(*simulation) qm.Placer { return place.NewHash(share) },
		})
	}
	for _, share := range []float64{0.4, 0.7, 0.99} {
		all = append(all, Policy{
			Name: "pair " + strconv.FormatFloat(share, 'f', 2, 64),
			New:  func(*simulation) qm.Placer { return place.NewPair(share) },
		})
	}
	addVariant := func(name string, configure func(*place.Options)) {
		opt := place.Defaults()
		configure(&opt)
		all = append(all, Policy{Name: name, New: func(*simulation) qm.Placer { return place.New(opt) }})
	}
	addVariant("greedy", func(o *place.Options) {
		o.RecomputePenalty, o.OffHomePenalty, o.NoEventsPenalty, o.MinLoadBound = 0, 0, 0, 1000
	})
	for _, recompute := range []float64{0, 1, 4, 8} {
		addVariant("again "+strconv.FormatFloat(recompute, 'f', 1, 64), func(o *place.Options) {
			o.RecomputePenalty = recompute
		})
	}
	for _, offHome := range []float64{0, 1, 2, 4, 8} {
		addVariant("stray "+strconv.FormatFloat(offHome, 'f', 1, 64), func(o *place.Options) { o.OffHomePenalty = offHome })
	}
	for _, factor := range []float64{1, 1.5, 3, 5} {
		addVariant("width "+strconv.FormatFloat(factor, 'f', 1, 64), func(o *place.Options) { o.ReplicationFactor = factor })
	}
	addVariant("no sample", func(o *place.Options) { o.MinRequests = 0 })
	for _, share := range []float64{0.4, 0.7, 0.99} {
		addVariant("plain "+strconv.FormatFloat(share, 'f', 2, 64), func(o *place.Options) {
			o.MinCoverage, o.HashShare = 2, share
		})
		addVariant("both "+strconv.FormatFloat(share, 'f', 2, 64), func(o *place.Options) { o.HashShare = share })
	}
	addVariant("kept 0", func(o *place.Options) { o.MinRetained = 0 })
	addVariant("kept 0.5", func(o *place.Options) { o.MinRetained = 0.5 })
	addVariant("event lag 2 s", func(o *place.Options) { o.EventLag = 2 * time.Second })
	all = append(all, Policy{Name: "deaf", New: func(*simulation) qm.Placer {
		// Embedding the interface hides the method Observe, so that the placer gets no cache events.
		return struct{ qm.Placer }{place.New(place.Defaults())}
	}})
	addVariant("no lots", func(o *place.Options) { o.TieTolerance = 0 })
	addVariant("lots 0.1", func(o *place.Options) { o.RelativeTieTolerance = 0.1 })
	addVariant("bound 1.25", func(o *place.Options) { o.LoadFactor, o.MinLoadBound = 1.25, 1 })
	addVariant("bound 2", func(o *place.Options) { o.LoadFactor = 2 })
	addVariant("bound 8", func(o *place.Options) { o.LoadFactor = 8 })
	return append(all, importPolicies()...)
}

// importPolicies returns policies whose engines import KV cache that another engine has. The assumed costs are for
// 131 KB of KV cache per token, as of a model with 32 layers and 8 heads of 128 values of 2 bytes: 13 us a token at
// 10 GB/s, 42 us at 3.1 GB/s. Prefill takes 25 us a token.
func importPolicies() []Policy {
	var all []Policy
	for _, p := range Policies() {
		for _, tokenTime := range []time.Duration{13 * time.Microsecond, 42 * time.Microsecond} {
			if !p.SharedCache {
				all = append(all, Policy{Name: p.Name + " import " + tokenTime.String(), New: p.New, ImportTokenTime: tokenTime})
			}
		}
	}
	return all
}
