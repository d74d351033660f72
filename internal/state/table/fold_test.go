package table_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

func team(name string) table.Key { return table.Key{Kind: table.Team, Name: name} }

// change returns a change of a team that sets its weight.
func change(name string, base qm.Offset, weight string) table.Change {
	return table.Change{Key: team(name), Base: base, Cells: map[string]string{"Key": table.HashKey(name), "Weight": weight}}
}

func edit(attempt qm.AttemptID, seen qm.Offset, changes ...table.Change) *table.Entry {
	return &table.Entry{Edit: &table.Edit{Attempt: attempt, Seen: seen, Changes: changes}}
}

func void(attempt qm.AttemptID) *table.Entry {
	return &table.Entry{Void: &table.Void{Attempt: attempt}}
}

func record(t testing.TB, off qm.Offset, e *table.Entry) qm.Record {
	t.Helper()
	if e == nil {
		return qm.Record{Offset: off, Data: []byte("{")}
	}
	data, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return qm.Record{Offset: off, Data: data}
}

// TestFold guards against an edit that takes effect although it lost a race, was voided, came too late or makes the
// table invalid.
func TestFold(t *testing.T) {
	sameKey := table.Change{Key: team("y"), Cells: map[string]string{"Key": table.HashKey("x")}}
	tests := []struct {
		name    string
		records []*table.Entry
		// want are the statuses of the records; a record that cannot be decoded has "alert".
		want   []string
		weight string // of team x at the end, "none" if the team does not exist
	}{
		{"create and change", []*table.Entry{edit("a", 0, change("x", 0, "2")), edit("b", 1, change("x", 1, "3"))},
			[]string{"Accepted", "Accepted"}, "3"},
		{"race", []*table.Entry{edit("a", 0, change("x", 0, "2")), edit("b", 0, change("x", 0, "3"))},
			[]string{"Accepted", "Refused"}, "2"},
		{"void before", []*table.Entry{void("a"), edit("a", 0, change("x", 0, "2"))}, []string{"Voided", "Voided"}, "none"},
		{"void after", []*table.Entry{edit("a", 0, change("x", 0, "2")), void("a")}, []string{"Accepted", "Accepted"}, "2"},
		{"attempt refused once stays refused", []*table.Entry{
			edit("a", 0, change("x", 0, "2")), edit("b", 0, change("x", 3, "9")), nil, edit("b", 0, change("x", 1, "9")),
		}, []string{"Accepted", "Refused", "alert", "Refused"}, "2"},
		{"delete", []*table.Entry{edit("a", 0, change("x", 0, "2")),
			edit("b", 1, table.Change{Key: team("x"), Base: 1, Delete: true})}, []string{"Accepted", "Accepted"}, "none"},
		{"delete of nothing", []*table.Entry{edit("a", 0, table.Change{Key: team("x"), Delete: true})},
			[]string{"Refused"}, "none"},
		{"all or nothing", []*table.Entry{edit("a", 0, change("x", 0, "2"), sameKey)}, []string{"Refused"}, "none"},
		{"row twice", []*table.Entry{edit("a", 0, change("x", 0, "2"), change("x", 0, "3"))}, []string{"Refused"}, "none"},
		{"bad cell", []*table.Entry{edit("a", 0, change("x", 0, "-2"))}, []string{"Refused"}, "none"},
		{"from the future", []*table.Entry{edit("a", 1, change("x", 0, "2"))}, []string{"Refused"}, "none"},
		{"no format", []*table.Entry{nil, edit("a", 0, change("x", 0, "2"))}, []string{"alert", "Accepted"}, "2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := table.New()
			var got []string
			for i, e := range tt.records {
				v, err := tab.Apply(record(t, qm.Offset(i+1), e))
				if err != nil {
					t.Fatal(err)
				}
				if v.Alert != nil {
					got = append(got, "alert")
					continue
				}
				got = append(got, string(v.Status))
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Errorf("statuses (-want +got):\n%s", d)
			}
			weight := "none"
			if r := tab.Row(team("x")); r != nil {
				weight = r.Value("Weight")
			}
			if weight != tt.weight {
				t.Errorf("weight %s, want %s", weight, tt.weight)
			}
			checkConfig(t, tab)
		})
	}
}

// checkConfig compares the configuration built step by step with the one built from a delta of the whole table.
func checkConfig(t *testing.T, tab *table.Table) {
	t.Helper()
	fresh := table.New()
	if d := tab.Delta(0); d != nil {
		if err := fresh.ApplyDelta(d); err != nil {
			t.Fatal(err)
		}
	}
	if d := cmp.Diff(fresh.Config(), tab.Config()); d != "" {
		t.Errorf("config from a snapshot and config from records (-snapshot +records):\n%s", d)
	}
	if fresh.Digest() != tab.Digest() {
		t.Errorf("digests %x and %x", fresh.Digest(), tab.Digest())
	}
}

// TestLateEdit guards against an edit that takes effect after its void left the attempt window.
func TestLateEdit(t *testing.T) {
	tab := table.New()
	apply := func(e *table.Entry) table.ApplyResult {
		v, err := tab.Apply(record(t, tab.Offset()+1, e))
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	apply(void("late"))
	for tab.Offset() < table.AttemptWindow+1 {
		apply(void("filler" + qm.AttemptID(fmt.Sprint(tab.Offset()))))
	}
	if _, ok := tab.Attempt("late"); ok {
		t.Fatal("the attempt is still known")
	}
	if v := apply(edit("late", 0, change("x", 0, "2"))); v.Status != table.Refused {
		t.Errorf("status %q, want Refused", v.Status)
	}
}

// TestDeltaOfDeletedRow guards against a peer that keeps a row which was created and deleted within the range of one
// delta.
func TestDeltaOfDeletedRow(t *testing.T) {
	a := table.New()
	var seen []*table.Table
	for i, e := range []*table.Entry{
		edit("a", 0, change("x", 0, "2")), edit("b", 1, change("y", 0, "2")),
		edit("c", 2, table.Change{Key: team("y"), Base: 2, Delete: true}), edit("d", 3, change("x", 1, "5")),
	} {
		if _, err := a.Apply(record(t, qm.Offset(i+1), e)); err != nil {
			t.Fatal(err)
		}
		b := table.New()
		if err := b.ApplyDelta(a.Delta(0)); err != nil {
			t.Fatal(err)
		}
		seen = append(seen, b)
	}
	relay := seen[0]
	if err := relay.ApplyDelta(a.Delta(relay.Offset())); err != nil {
		t.Fatal(err)
	}
	for _, b := range seen[1:3] {
		d := relay.Delta(b.Offset())
		if err := b.ApplyDelta(d); err != nil {
			t.Errorf("delta from offset %d: %v", b.Offset(), err)
		}
		if b.Digest() != a.Digest() {
			t.Errorf("digest %x, want %x", b.Digest(), a.Digest())
		}
	}
}

// FuzzRecord guards against records that make readers differ or stop. Each input is a log with one record a line.
func FuzzRecord(f *testing.F) {
	seed := func(entries ...*table.Entry) {
		var lines [][]byte
		for i, e := range entries {
			lines = append(lines, record(f, qm.Offset(i+1), e).Data)
		}
		f.Add(bytes.Join(lines, []byte("\n")))
	}
	seed(edit("a", 0, change("x", 0, "2")), nil, edit("b", 2, change("x", 1, "3")), void("c"))
	seed(edit("a", 0, change("x", 0, "2")), edit("b", 1, table.Change{Key: team("x"), Base: 1, Delete: true}))
	f.Add([]byte(`{"Format":1,"Edit":{"Attempt":"a","Seen":-9223372036854775808,"Changes":[{"Kind":"q","Name":"x"}]}}`))
	f.Add([]byte(`{"Format":1,"Part":{"Snapshot":"a","CoversTo":0,"Index":0,"Rows":[null]}}`))
	f.Add([]byte(`{"Format":1,"Mark":{"Snapshot":"a","CoversTo":9223372036854775807,"Parts":-1,"Rows":0,"Digest":0}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		batch := qm.Batch{FirstOffset: 1}
		for i, line := range bytes.Split(data, []byte("\n")) {
			batch.Records = append(batch.Records, qm.Record{Offset: qm.Offset(i + 1), Data: line})
		}
		batch.NextOffset = qm.Offset(len(batch.Records) + 1)
		whole := table.NewReader()
		if _, err := whole.ApplyBatch(batch); err != nil {
			t.Fatal(err)
		}
		late := batch // a reader below the first retained offset must not apply records without a snapshot
		late.FirstOffset, late.Records = 2, batch.Records[1:]
		gap := table.NewReader()
		gap.ApplyBatch(late)
		if gap.Table().Offset() > whole.Table().Offset() {
			t.Fatalf("offset %d after %d records", gap.Table().Offset(), len(batch.Records))
		}
		checkConfig(t, whole.Table())
	})
}

// TestApplyDeltaRejectsTruncated guards against a delta that a peer truncated.
func TestApplyDeltaRejectsTruncated(t *testing.T) {
	a := table.New()
	if _, err := a.Apply(record(t, 1, edit("a", 0, change("x", 0, "2"), change("y", 0, "3")))); err != nil {
		t.Fatal(err)
	}
	for name, cut := range map[string]func(d *table.Delta){
		"row":     func(d *table.Delta) { d.Rows, d.Count = d.Rows[:1], 1 },
		"attempt": func(d *table.Delta) { d.Attempts = nil },
	} {
		d, b := a.Delta(0), table.New()
		cut(d)
		if err := b.ApplyDelta(d); err == nil || b.Offset() != 0 {
			t.Errorf("delta without its %s: offset %d, error %v", name, b.Offset(), err)
		}
	}
}
