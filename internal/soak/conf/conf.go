// Package conf draws configurations for the soak test that differ in everything an operator may change, and still allow what its callers send.
package conf

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"quetzalmount.dev/quetzalmount/internal/soak/audit"
	"quetzalmount.dev/quetzalmount/platform/fake"
)

// Ranges of what is drawn. The least limits are above what callers send and the least time-out is above what an idle engine needs.
const (
	minTimeoutMs, maxTimeoutMs         = 1500, 6000
	minObjectiveMs, maxObjectiveMs     = 100, 2000
	maxAttempts                        = 4
	maxPriority                        = 2
	maxWeight                          = 9
	maxTeams                           = 4
	minConns, maxConns                 = 20, 200
	minSlots, maxSlots                 = 4, 32
	minCapacity, maxCapacity           = 10_000, 200_000
	minHeaderBytes, maxHeaderBytes     = 4 << 10, 64 << 10
	minBodyBytes, maxBodyBytes         = 400_000, 4_000_000
	minHeaderMs, maxHeaderMs           = 3000, 10_000
	minIdleTimeoutMs, maxIdleTimeoutMs = 1000, 15_000
)

// Extend returns c with the services that Draw moves routes to, and room for the long bodies of callers.
func Extend(c fake.Configuration) fake.Configuration {
	c.Limits.MaxBodyBytes = maxBodyBytes
	for _, s := range slices.Clone(c.Services) {
		s.Name = audit.SecondService(s.Name)
		c.Services = append(c.Services, s)
	}
	return c
}

// Draw returns c with routes that are moved, split by weight and divided by longer path prefixes, and with other time-outs, objectives, limits,
// services and teams. The keys of c are distributed to the teams.
func Draw(rnd *rand.Rand, c fake.Configuration) fake.Configuration {
	between := func(low, high int) int { return low + rnd.IntN(high-low+1) }
	oneIn := func(n int) bool { return rnd.IntN(n) == 0 }
	movesRoutes := !oneIn(3)
	var routes []fake.Route
	for _, base := range c.Routes {
		for section := range audit.Sections {
			if section > 0 && !oneIn(3) {
				continue
			}
			r := base
			if section > 0 {
				r.Name, r.PathPrefix = fmt.Sprintf("%s-%d", r.Name, section), audit.SectionPath(r.PathPrefix, section)
			}
			r.TimeoutMs, r.SloMs, r.Priority = between(minTimeoutMs, maxTimeoutMs), between(minObjectiveMs, maxObjectiveMs), rnd.IntN(maxPriority+1)
			r.MaxAttempts = between(1, maxAttempts)
			if r.GapAimMs = 0; r.Kind == "streaming" && !oneIn(4) {
				r.GapAimMs = between(minObjectiveMs, maxObjectiveMs)
			}
			switch second, n := audit.SecondService(base.Service), rnd.IntN(4); {
			case !movesRoutes:
			case n == 0:
				r.Service = second
			case n == 1:
				r.Service, r.Split = "", []fake.Share{{Service: base.Service, Weight: between(1, maxWeight)}, {Service: second, Weight: between(1, maxWeight)}}
			}
			routes = append(routes, r)
		}
	}
	rnd.Shuffle(len(routes), func(i, j int) { routes[i], routes[j] = routes[j], routes[i] })
	c.Routes = routes
	isUsed := func(s fake.Service) bool {
		return slices.ContainsFunc(routes, func(r fake.Route) bool {
			return r.Service == s.Name || slices.ContainsFunc(r.Split, func(o fake.Share) bool { return o.Service == s.Name })
		})
	}
	c.Services = slices.DeleteFunc(slices.Clone(c.Services), func(s fake.Service) bool { return !isUsed(s) && oneIn(2) })
	for i, s := range c.Services {
		s.MaxConns = between(minConns, maxConns)
		if s.Engine != nil {
			s.Engine = &fake.EngineSize{Slots: between(minSlots, maxSlots), KvCapacity: between(minCapacity, maxCapacity), Models: s.Engine.Models}
		}
		c.Services[i] = s
	}
	if oneIn(3) {
		c.Services = append(c.Services, fake.Service{Name: "unused"})
	}
	c.Limits = fake.Limits{
		MaxHeaderBytes: between(minHeaderBytes, maxHeaderBytes), MaxBodyBytes: between(minBodyBytes, maxBodyBytes),
		HeaderTimeoutMs: between(minHeaderMs, maxHeaderMs), IdleTimeoutMs: between(minIdleTimeoutMs, maxIdleTimeoutMs),
	}
	c.Teams = drawTeams(rnd, c.Teams)
	return c
}

// drawTeams distributes the keys of teams to other ones.
func drawTeams(rnd *rand.Rand, old []fake.Team) []fake.Team {
	teams := make([]fake.Team, 1+rnd.IntN(maxTeams))
	for i := range teams {
		teams[i] = fake.Team{Name: fmt.Sprint("team-", i+1), Keys: []string{fmt.Sprint("of-team-", i+1)}, Isolated: rnd.IntN(4) == 0}
		if p := rnd.IntN(2 * (maxPriority + 1)); p <= maxPriority {
			teams[i].Priority = &p
		}
	}
	for _, t := range old {
		for _, k := range t.Keys {
			i := rnd.IntN(len(teams))
			teams[i].Keys = append(teams[i].Keys, k)
		}
	}
	return teams
}

// Rules returns what a configuration says of each kind of request and section of its path.
func Rules(c fake.Configuration) map[audit.Target]audit.Rule {
	out := map[audit.Target]audit.Rule{}
	for _, kind := range audit.Kinds {
		for section := range audit.Sections {
			var best fake.Route
			for _, r := range c.Routes {
				if strings.HasPrefix(audit.SectionPath(kind.PathPrefix(), section), r.PathPrefix) && len(r.PathPrefix) > len(best.PathPrefix) {
					best = r
				}
			}
			rule := audit.Rule{Timeout: time.Duration(best.TimeoutMs) * time.Millisecond, Services: []string{best.Service}}
			if best.Service == "" {
				rule.Services = nil
			}
			for _, s := range best.Split {
				rule.Services = append(rule.Services, s.Service)
			}
			out[audit.Target{Kind: kind, Section: section}] = rule
		}
	}
	return out
}
