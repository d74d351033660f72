package slope

import (
	"context"
	"fmt"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/queue"
	"quetzalmount.dev/quetzalmount/internal/limit/share"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/state/table"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// controlMeasures returns the measures of the table, the limits, the queue and the membership.
func controlMeasures() []Measure {
	teams := []float64{1000, 4000, 12000}
	return []Measure{
		{
			Name: "FoldTime", About: "applying the record that creates all teams, and building the configuration",
			X: "teams", Y: "ns", Sizes: teams, Cost: applyTime,
		},
		{
			Name: "ConfigBytes", About: "the table and the configuration built from it",
			X: "teams", Y: "bytes", Sizes: teams,
			Cost: func(numTeams float64) float64 {
				rec := teamsRecord(int(numTeams))
				return HeapBytes(func() any { return buildTable(rec) })
			},
		},
		{
			Name: "EditTime", About: "applying an edit of one team and building the configuration",
			X: "teams", Y: "ns", Sizes: teams, Cost: editTime,
		},
		{
			Name: "AdmitTime", About: "Admit and Release at the home of the teams, taken in turn",
			X: "teams with traffic", Y: "ns", Sizes: []float64{30, 1000, 12000}, Cost: admitTime,
		},
		{
			Name: "LimitBytes", About: "limits of teams that have traffic, at their home",
			X: "teams with traffic", Y: "bytes", Sizes: teams, Cost: limitBytes,
		},
		{
			Name: "QueueTime", About: "Wait and release with a free slot, teams in turn",
			X: "teams", Y: "ns", Sizes: []float64{8, 1000, 12000}, Cost: queueTime,
		},
		{
			Name: "ReportTime", About: "applying one load report, with the new list of endpoints on the board",
			X: "engines", Y: "ns", Sizes: []float64{12, 300, 3200}, Cost: reportTime,
		},
		{
			Name: "AdviceTime", About: "one address advice",
			X: "routers", Y: "ns", Sizes: []float64{6, 96, 420}, Cost: adviceTime,
		},
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%05d", i) }

// teamsRecord returns the log record that creates n teams, at offset 1.
func teamsRecord(n int) qm.Record {
	changes := make([]table.Change, n)
	for i := range changes {
		name := teamName(i)
		changes[i] = table.Change{
			Key:   table.Key{Kind: table.Team, Name: name},
			Cells: map[string]string{"Key": table.HashKey(name), "Weight": "2", "Concurrency": "16"},
		}
	}
	return encodeRecord(1, &table.Entry{Edit: &table.Edit{Attempt: "import", Changes: changes}})
}

func encodeRecord(offset qm.Offset, entry *table.Entry) qm.Record {
	data, err := entry.Encode()
	if err != nil {
		panic(err) // all entries of this file can be encoded
	}
	return qm.Record{Offset: offset, Data: data}
}

// builtTable is what a router keeps in memory of the table.
type builtTable struct {
	table  *table.Table
	config *qm.Config
}

// buildTable applies record to an empty table and builds the configuration.
func buildTable(record qm.Record) builtTable {
	t := table.New()
	if v, err := t.Apply(record); err != nil || v.Status != table.Accepted {
		panic(fmt.Sprint("the record that creates the teams was not accepted: ", v, err))
	}
	return builtTable{t, t.Config()}
}

// applyTime returns the nanoseconds of buildTable with numTeams teams.
func applyTime(numTeams float64) float64 {
	rec := teamsRecord(int(numTeams))
	return NanosecondsPerCall(func(int) { buildTable(rec) })
}

// editTime returns the nanoseconds to apply an edit to a table of numTeams teams and to build the configuration.
func editTime(numTeams float64) float64 {
	t := buildTable(teamsRecord(int(numTeams))).table
	return NanosecondsPerCall(func(i int) {
		key := table.Key{Kind: table.Team, Name: teamName(i % int(numTeams))}
		e := &table.Edit{
			Attempt: qm.AttemptID(fmt.Sprint("edit-", i)), Seen: t.Offset(),
			Changes: []table.Change{t.MergeCells(key, map[string]string{"Weight": fmt.Sprint(1 + i%9)})},
		}
		if _, err := t.Apply(encodeRecord(t.Offset()+1, &table.Entry{Edit: e})); err != nil {
			panic(err)
		}
		t.Config()
	})
}

// newHomeLimiter returns a limiter that is the home of n teams, and the teams. It waits for qm.LeaseTime, since a new
// home serves its teams only when the loans of a previous home must have expired.
func newHomeLimiter(n int) (*share.Limiter, []*qm.Team) {
	b := board.New()
	self := qm.Member{Instance: "entry-1", State: qm.Live, IsSelf: true}
	b.Members.Store(qm.Members{self})
	config := &qm.Config{Offset: 1, Teams: make(map[qm.TeamID]*qm.Team)}
	teams := make([]*qm.Team, n)
	for i := range teams {
		teams[i] = &qm.Team{ID: qm.TeamID(teamName(i)), Weight: 1, Limits: qm.Limits{
			RequestsPerMinute: 6e6, PromptTokensPerMinute: 6e9, OutputTokensPerMinute: 6e9, Concurrency: 24,
		}}
		config.Teams[teams[i].ID] = teams[i]
	}
	b.Table.Store(config)
	l := share.New(context.Background(), share.Options{
		Board: b, Self: self.Instance, Incarnation: "one",
		Borrow: func(context.Context, qm.Member, *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
			return &peerpb.BorrowResponse{}, nil
		},
	})
	time.Sleep(qm.LeaseTime + time.Second)
	return l, teams
}

// admitTime returns the nanoseconds of Admit and Release at the home of numTeams teams.
func admitTime(numTeams float64) float64 {
	l, teams := newHomeLimiter(int(numTeams))
	defer l.Close()
	return NanosecondsPerCall(func(i int) {
		g, err := l.Admit(teams[i%len(teams)], qm.Cost{PromptTokens: 10, OutputTokens: 10}, time.Now())
		if err == nil {
			g.Release(5)
		}
	})
}

// limitBytes returns the heap bytes that a limiter adds for numTeams teams with traffic.
func limitBytes(numTeams float64) float64 {
	l, teams := newHomeLimiter(int(numTeams))
	defer l.Close()
	return HeapBytes(func() any {
		for _, t := range teams {
			if g, err := l.Admit(t, qm.Cost{PromptTokens: 10, OutputTokens: 10}, time.Now()); err == nil {
				g.Release(5)
			}
		}
		return l
	})
}

// queueTime returns the nanoseconds to acquire and release a free slot, with numTeams teams in turn.
func queueTime(numTeams float64) float64 {
	q := queue.New(8)
	names := make([]qm.TeamID, int(numTeams))
	for i := range names {
		names[i] = qm.TeamID(teamName(i))
	}
	return NanosecondsPerCall(func(i int) {
		release, err := q.Wait(context.Background(), queue.Request{Team: names[i%len(names)], Weight: 1, Cost: 1000})
		if err != nil {
			panic(err) // a free slot is never refused
		}
		release()
	})
}

// reportTime returns the nanoseconds of ApplyReport with numEngines engines.
func reportTime(numEngines float64) float64 {
	engines := liveEndpoints(int(numEngines))
	for _, e := range engines {
		e.Kind = qm.KindEngine
	}
	b := board.New()
	changed := b.Endpoints.Changed()
	r := roster.New(context.Background(), roster.Options{
		Board: b, Self: qm.Member{Instance: "entry-1"},
		List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) { return nil, engines, nil },
	})
	defer r.Close()
	for known, _ := b.Endpoints.Load(); len(known) == 0; known, _ = b.Endpoints.Load() {
		<-changed
		changed = b.Endpoints.Changed()
	}
	return NanosecondsPerCall(func(i int) {
		r.ApplyReport(engines[i%len(engines)].ID, roster.Report{Incarnation: "one", Load: qm.Load{Running: i}})
	})
}

// adviceTime returns the nanoseconds of one address advice among numRouters routers.
func adviceTime(numRouters float64) float64 {
	b := board.New()
	members := make(qm.Members, int(numRouters))
	for i := range members {
		members[i] = qm.Member{
			Instance: qm.InstanceID(fmt.Sprint("entry-", i)), Address: "127.0.0.1:1", State: qm.Live, Region: "r",
			DataCentre: qm.DataCentre(fmt.Sprint("dc-", i%4)),
		}
	}
	b.Members.Store(members)
	a := advice.New(b, advice.Options{})
	return NanosecondsPerCall(func(i int) { a.For(qm.TeamID(teamName(i%1000)), "dc-0") })
}
