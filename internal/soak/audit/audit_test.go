package audit_test

import (
	"strings"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/soak/audit"
	"quetzalmount.dev/quetzalmount/platform/fake"
)

var bounds = audit.Bounds{
	Contact: time.Second, Apply: time.Second, Back: 100 * time.Millisecond, Drain: time.Second, RepeatRatio: 0.2, RepeatExtra: 2,
	RepeatWindow: 10 * time.Second,
}

// seen plays a request that was sent now, ran on engines and was answered.
func seen(b *audit.Book, a audit.Attempt, engines ...string) {
	a.Router, a.Start = "r", 1
	if a.Sent.IsZero() {
		a.Sent = time.Now()
	}
	b.Sent(a)
	for _, e := range engines {
		b.Engine(fake.Event{Kind: fake.Ran, Engine: e, Request: a.ID, Time: a.Sent.Add(time.Millisecond)})
	}
	a.Ended = a.Sent.Add(10 * time.Millisecond)
	b.Answered(a)
}

// TestBook guards against an audit that misses a broken promise, or finds one where none was broken.
func TestBook(t *testing.T) {
	ok := audit.Attempt{ID: "a", Kind: audit.Order, Status: 200, Whole: true, Key: 1}
	with := func(change func(*audit.Attempt)) audit.Attempt {
		a := ok
		change(&a)
		return a
	}
	later := time.Now().Add(time.Minute)
	for name, tt := range map[string]struct {
		play func(*audit.Book)
		want string
	}{
		"all is well":        {func(b *audit.Book) { seen(b, ok, "e") }, ""},
		"run twice":          {func(b *audit.Book) { seen(b, ok, "e", "f") }, "run twice"},
		"may run twice":      {func(b *audit.Book) { seen(b, with(func(a *audit.Attempt) { a.Kind = audit.Look }), "e", "f") }, ""},
		"never sent":         {func(b *audit.Book) { b.Engine(fake.Event{Kind: fake.Ran, Request: "z"}) }, "no caller sent"},
		"not run, but ran":   {func(b *audit.Book) { seen(b, with(func(a *audit.Attempt) { a.Status = 503 }), "e") }, "not run"},
		"may have run":       {func(b *audit.Book) { seen(b, with(func(a *audit.Attempt) { a.Status = 502 }), "e") }, ""},
		"cut":                {func(b *audit.Book) { seen(b, with(func(a *audit.Attempt) { a.Whole = false }), "e") }, "lost"},
		"caller gave up":     {func(b *audit.Book) { seen(b, with(func(a *audit.Attempt) { a.Whole, a.Gone = false, true }), "e") }, ""},
		"cut, engine harmed": {func(b *audit.Book) { b.Harm("e"); seen(b, with(func(a *audit.Attempt) { a.Whole = false }), "e") }, ""},
		"wrong answer":       {func(b *audit.Book) { seen(b, with(func(a *audit.Attempt) { a.Fault = "another's" }), "e") }, "answer"},
		"engine complains":   {func(b *audit.Book) { b.Engine(fake.Event{Kind: fake.Wrong, Detail: "came with a key"}) }, "came with a key"},
		"work after leaving": {func(b *audit.Book) {
			b.Engine(fake.Event{Kind: fake.Draining, Engine: "e", Time: time.Now()})
			seen(b, with(func(a *audit.Attempt) { a.Sent = time.Now().Add(2 * time.Second) }), "e")
		}, "leaving"},
		"work while leaving": {func(b *audit.Book) {
			b.Engine(fake.Event{Kind: fake.Draining, Engine: "e", Time: time.Now()})
			seen(b, ok, "e")
		}, ""},
		"older configuration": {func(b *audit.Book) {
			b.Configuring(3)
			b.Configured(3)
			seen(b, with(func(a *audit.Attempt) { a.Sent = later }), "e")
		}, "configuration"},
		"older configuration, router harmed": {func(b *audit.Book) {
			b.Configuring(3)
			b.Configured(3)
			b.Harm("r")
			seen(b, with(func(a *audit.Attempt) { a.Sent = later }), "e")
		}, ""},
		"back to an older configuration": {func(b *audit.Book) {
			b.Harm(audit.Store)
			b.Configuring(3)
			seen(b, with(func(a *audit.Attempt) { a.Key = 3 }), "e")
			seen(b, with(func(a *audit.Attempt) { a.ID, a.Key, a.Sent = "b", 1, time.Now().Add(time.Second) }), "e")
		}, "configuration"},
		"two holders": {func(b *audit.Book) {
			b.Engine(fake.Event{Kind: fake.Ordered, Engine: "e", Holder: "r", Fence: 4})
			b.Engine(fake.Event{Kind: fake.Ordered, Engine: "e", Holder: "s", Fence: 4})
		}, "orders"},
		"older holder": {func(b *audit.Book) {
			b.Engine(fake.Event{Kind: fake.Ordered, Engine: "e", Holder: "r", Fence: 4})
			b.Engine(fake.Event{Kind: fake.Ordered, Engine: "e", Holder: "s", Fence: 3})
		}, "orders"},
		"too many repeats": {func(b *audit.Book) {
			seen(b, with(func(a *audit.Attempt) { a.Kind = audit.Look }), "e", "f", "g", "h")
		}, "repeats"},
	} {
		t.Run(name, func(t *testing.T) {
			b := audit.New(bounds)
			tt.play(b)
			b.Finish()
			got := strings.Join(b.Broken(), "\n")
			if (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
				t.Errorf("broken promises %q, want %q", got, tt.want)
			}
		})
	}
}
