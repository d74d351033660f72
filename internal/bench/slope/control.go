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

// control returns the measures of the table, the limits, the queue and the membership.
func control() []Measure {
	teams := []float64{1000, 4000, 12000}
	return []Measure{
		{
			Name: "FoldTime", About: "folding the record that creates all teams, and building the configuration",
			X: "teams", Y: "ns", Sizes: teams, Cost: fold,
		},
		{
			Name: "ConfigBytes", About: "the table and the configuration built from it",
			X: "teams", Y: "bytes", Sizes: teams,
			Cost: func(x float64) float64 {
				rec := imported(int(x))
				return Bytes(func() any { return folded(rec) })
			},
		},
		{
			Name: "EditTime", About: "folding an edit of one team and building the configuration",
			X: "teams", Y: "ns", Sizes: teams, Cost: editOne,
		},
		{
			Name: "AdmitTime", About: "Admit and Release at the home of the teams, taken in turn",
			X: "teams with traffic", Y: "ns", Sizes: []float64{30, 1000, 12000}, Cost: admit,
		},
		{
			Name: "LimitBytes", About: "limits of teams that have traffic, at their home",
			X: "teams with traffic", Y: "bytes", Sizes: teams, Cost: limitBytes,
		},
		{
			Name: "QueueTime", About: "Wait and release with a free slot, teams in turn",
			X: "teams", Y: "ns", Sizes: []float64{8, 1000, 12000}, Cost: wait,
		},
		{
			Name: "ReportTime", About: "taking one load report, with the new list of endpoints on the board",
			X: "engines", Y: "ns", Sizes: []float64{12, 300, 3200}, Cost: report,
		},
		{
			Name: "AdviceTime", About: "one address advice",
			X: "routers", Y: "ns", Sizes: []float64{6, 96, 420}, Cost: advise,
		},
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%05d", i) }

// imported returns the record that creates n teams.
func imported(n int) qm.Record {
	changes := make([]table.Change, n)
	for i := range changes {
		name := teamName(i)
		changes[i] = table.Change{
			Key:   table.Key{Kind: table.Team, Name: name},
			Cells: map[string]string{"Key": table.HashKey(name), "Weight": "2", "Concurrency": "16"},
		}
	}
	return record(1, &table.Entry{Edit: &table.Edit{Attempt: "import", Changes: changes}})
}

func record(off qm.Offset, e *table.Entry) qm.Record {
	data, err := e.Encode()
	if err != nil {
		panic(err) // entries made here always encode
	}
	return qm.Record{Offset: off, Data: data}
}

// builtTable is what a router keeps of the table.
type builtTable struct {
	table  *table.Table
	config *qm.Config
}

func folded(rec qm.Record) builtTable {
	t := table.New()
	if v, err := t.Apply(rec); err != nil || v.Status != table.Accepted {
		panic(fmt.Sprint("the record that creates the teams was not accepted: ", v, err))
	}
	return builtTable{t, t.Config()}
}

func fold(x float64) float64 {
	rec := imported(int(x))
	return Nanoseconds(func(int) { folded(rec) })
}

func editOne(x float64) float64 {
	t := folded(imported(int(x))).table
	return Nanoseconds(func(i int) {
		key := table.Key{Kind: table.Team, Name: teamName(i % int(x))}
		e := &table.Edit{
			Attempt: qm.AttemptID(fmt.Sprint("edit-", i)), Seen: t.Offset(),
			Changes: []table.Change{t.Set(key, map[string]string{"Weight": fmt.Sprint(1 + i%9)})},
		}
		if _, err := t.Apply(record(t.Offset()+1, &table.Entry{Edit: e})); err != nil {
			panic(err)
		}
		t.Config()
	})
}

// home returns a limiter that is the home of n teams and has waited the lease that it must.
func home(n int) (*share.Limiter, []*qm.Team) {
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

func admit(x float64) float64 {
	l, teams := home(int(x))
	defer l.Close()
	return Nanoseconds(func(i int) {
		g, err := l.Admit(teams[i%len(teams)], qm.Cost{PromptTokens: 10, OutputTokens: 10}, time.Now())
		if err == nil {
			g.Release(5)
		}
	})
}

func limitBytes(x float64) float64 {
	l, teams := home(int(x))
	defer l.Close()
	return Bytes(func() any {
		for _, t := range teams {
			if g, err := l.Admit(t, qm.Cost{PromptTokens: 10, OutputTokens: 10}, time.Now()); err == nil {
				g.Release(5)
			}
		}
		return l
	})
}

func wait(x float64) float64 {
	q := queue.New(8)
	names := make([]qm.TeamID, int(x))
	for i := range names {
		names[i] = qm.TeamID(teamName(i))
	}
	return Nanoseconds(func(i int) {
		release, err := q.Wait(context.Background(), queue.Request{Team: names[i%len(names)], Weight: 1, Cost: 1000})
		if err != nil {
			panic(err) // a free slot is never refused
		}
		release()
	})
}

func report(x float64) float64 {
	engines := view(int(x))
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
	return Nanoseconds(func(i int) {
		r.ApplyReport(engines[i%len(engines)].ID, roster.Report{Incarnation: "one", Load: qm.Load{Running: i}})
	})
}

func advise(x float64) float64 {
	b := board.New()
	members := make(qm.Members, int(x))
	for i := range members {
		members[i] = qm.Member{
			Instance: qm.InstanceID(fmt.Sprint("entry-", i)), Address: "127.0.0.1:1", State: qm.Live, Region: "r",
			DataCentre: qm.DataCentre(fmt.Sprint("dc-", i%4)),
		}
	}
	b.Members.Store(members)
	a := advice.New(b, advice.Options{})
	return Nanoseconds(func(i int) { a.For(qm.TeamID(teamName(i%1000)), "dc-0") })
}
