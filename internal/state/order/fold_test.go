package order

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// FuzzOrders guards against streams that give an engine two holders or decrease a fencing token. The input has one record
// per line, one second apart.
func FuzzOrders(f *testing.F) {
	seed := func(entries ...entry) {
		var lines [][]byte
		for _, e := range entries {
			data, err := encode(e)
			if err != nil {
				f.Fatal(err)
			}
			lines = append(lines, data)
		}
		f.Add(bytes.Join(lines, []byte("\n")))
	}
	seed(entry{Claim: &claim{Attempt: "1", Endpoint: "e"}}, entry{Claim: &claim{Attempt: "2", Endpoint: "e", Slot: 1}},
		entry{Release: &release{Fence: 1}}, entry{Claim: &claim{Attempt: "3", Endpoint: "e", Slot: 1}})
	seed(entry{Claim: &claim{Attempt: "1", Endpoint: "e"}}, entry{Claim: &claim{Attempt: "2", Endpoint: "x", Base: 1}},
		entry{Claim: &claim{Attempt: "3", Endpoint: "e", Base: 1}}, entry{Release: &release{Fence: 1}})
	f.Add([]byte(`{"Format":1,"Claim":{"Slot":-1}}`))
	f.Add([]byte(`{"Format":1,"Claim":{"Slot":2},"Release":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s slots
		now := time.Unix(0, 0)
		for i, line := range bytes.Split(data, []byte("\n")) {
			now = now.Add(time.Second)
			e, err := decode(line)
			if err != nil {
				continue
			}
			before := s
			accepted := s.apply(qm.Record{Offset: qm.Offset(i + 1), Time: now, Data: line}, e)
			if !accepted && s != before {
				t.Fatalf("line %d changed the slots although it was not accepted", i+1)
			}
			if s[0].isClaimed(now) && s[1].isClaimed(now) && s[0].endpoint == s[1].endpoint {
				t.Fatalf("line %d gave %q two slots", i+1, s[0].endpoint)
			}
			for j := range s {
				if s[j].fence < before[j].fence {
					t.Fatalf("line %d lowered the fence of slot %d", i+1, j)
				}
			}
		}
	})
}

// BenchmarkNextJob measures nextJob with the endpoints of a deployment of the target size. Each router calls it every
// idlePollInterval.
func BenchmarkNextJob(b *testing.B) {
	const engines, models = 3200, 17
	c := &Controller{
		opts: Options{Board: board.New(), Owner: func(qm.EndpointID) bool { return true }}, validFrom: time.Now(),
	}
	conf := &qm.Config{Models: make(map[qm.ModelID]*qm.Model), Groups: make(map[qm.GroupID]*qm.Group)}
	for i := range models {
		g, m := qm.GroupID(strconv.Itoa(i)), qm.ModelID(strconv.Itoa(i))
		conf.Groups[g] = &qm.Group{ID: g}
		conf.Models[m] = &qm.Model{ID: m, Group: g, Version: "v", Adapters: []qm.AdapterID{"a", "b"}}
	}
	var all qm.Endpoints
	for i := range engines {
		all = append(all, &qm.Endpoint{
			ID: qm.EndpointID(strconv.Itoa(i)), Kind: qm.KindEngine, Group: qm.GroupID(strconv.Itoa(i % models)), State: qm.Live,
			Version: "v", Adapters: []qm.AdapterID{"b", "a"},
		})
	}
	c.opts.Board.Table.Store(conf)
	c.opts.Board.Endpoints.Store(all)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := c.nextJob(0); ok {
			b.Fatal("nextJob returned a job, want none")
		}
	}
}
