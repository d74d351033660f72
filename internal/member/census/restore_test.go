package census_test

import (
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/census"
)

// TestRegistrationsOfCopy guards against requests to endpoints that a restored registry lists although they are gone or leave, and against
// endpoints without requests because their registration was lost.
func TestRegistrationsOfCopy(t *testing.T) {
	const dropTime = 4 * time.Second
	type change struct {
		incarnation qm.Incarnation // empty for the end of the registration
		state       qm.MemberState
		revision    int64
	}
	ready := func(revision int64) *change { return &change{"a@1", qm.Live, revision} }
	ended := &change{}
	for name, test := range map[string]struct {
		// before is what happens up to the restore, copied the registration in the copy, nil if there is none, and after what is written then.
		before []*change
		copied *change
		after  []*change
		// atOnce and later are the states one second after the restore and after dropTime, empty if the endpoint is not listed.
		atOnce, later qm.MemberState
	}{
		"unchanged":                             {[]*change{ready(1)}, ready(1), nil, qm.Live, qm.Live},
		"registered since, never again":         {[]*change{ready(1)}, nil, nil, qm.Live, ""},
		"registered since, same entry again":    {[]*change{ready(1)}, nil, []*change{ready(1)}, qm.Live, qm.Live},
		"registered since, next entry":          {[]*change{ready(1)}, nil, []*change{ready(2)}, qm.Live, qm.Live},
		"leaving since":                         {[]*change{ready(1), {"a@1", qm.Leaving, 2}}, ready(1), nil, qm.Leaving, qm.Leaving},
		"leaving since, gone again":             {[]*change{ready(1), {"a@1", qm.Leaving, 2}}, ready(1), []*change{ended}, qm.Leaving, ""},
		"gone since, dropped":                   {[]*change{ready(1), ended}, ready(1), []*change{ended}, "", ""},
		"gone since, not dropped":               {[]*change{ready(1), ended}, ready(1), nil, "", qm.Live},
		"gone since, next entry":                {[]*change{ready(1), ended}, ready(1), []*change{ready(2)}, qm.Live, qm.Live},
		"gone since, started again":             {[]*change{ready(5), ended}, ready(4), []*change{{"a@2", qm.Live, 1}}, qm.Live, qm.Live},
		"gone since, ID without a start time":   {[]*change{{"a", qm.Live, 0}, ended}, &change{"a", qm.Live, 0}, nil, qm.Live, qm.Live},
		"started again since, then in the copy": {[]*change{ready(5), {"a@2", qm.Live, 1}}, ready(5), []*change{{"a@2", qm.Live, 1}}, qm.Live, qm.Live},
	} {
		t.Run(name, func(t *testing.T) {
			r, start := census.New(), time.Unix(1000, 0)
			at := start
			apply := func(c *change) {
				at = at.Add(10 * time.Millisecond)
				var e *qm.Endpoint
				if c.incarnation != "" {
					e = &qm.Endpoint{ID: "a", Incarnation: c.incarnation, State: c.state}
				}
				r.Apply([]census.Change{{ID: "a", Endpoint: e, Revision: c.revision}}, at)
				r.List(at)
			}
			for _, c := range test.before {
				apply(c)
			}
			at = at.Add(10 * time.Millisecond)
			r.Restored(at, dropTime)
			if test.copied == nil {
				r.EndMissing(nil, at)
			} else {
				apply(test.copied)
			}
			for _, c := range test.after {
				apply(c)
			}
			for _, check := range []struct {
				after time.Duration
				want  qm.MemberState
			}{{time.Second, test.atOnce}, {dropTime + time.Second, test.later}} {
				var got qm.MemberState
				for _, e := range r.List(start.Add(check.after)) {
					got = e.State
				}
				if got != check.want {
					t.Errorf("%v after the restore: state %q, want %q", check.after, got, check.want)
				}
			}
		})
	}
}
