package prefix

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	qm "quetzalmount.dev/quetzalmount"
)

func msgs(parts ...string) []qm.Message {
	var m []qm.Message
	for _, p := range parts {
		m = append(m, qm.Message{Role: "user", Content: p})
	}
	return m
}

// shared returns the number of keys that two prompts have in common.
func shared(a, b []qm.PrefixSpan) int {
	seen := map[qm.PrefixKey]bool{}
	for _, s := range a {
		seen[s.Key] = true
	}
	n := 0
	for _, s := range b {
		if seen[s.Key] {
			n++
		}
	}
	return n
}

// TestReuse guards against keys that claim reuse that the engine's cache does not allow, or miss reuse that it does.
func TestReuse(t *testing.T) {
	long := strings.Repeat("x", 3*blockBytes)
	base := Scope{Team: "harbour", Model: "scribe", Version: "v1"}
	with := func(edit func(*Scope)) Scope { s := base; edit(&s); return s }
	same := func(*Scope) {}
	tests := []struct {
		name string
		edit func(*Scope)
		a, b []qm.Message
		want int
	}{
		{"equal prompts", same, msgs(long, "q"), msgs(long, "q"), 4},
		{"other question", same, msgs(long, "q"), msgs(long, "r"), 3},
		{"other team", func(s *Scope) { s.Team = "quay" }, msgs(long, "q"), msgs(long, "q"), 0},
		{"other model", func(s *Scope) { s.Model = "tab" }, msgs(long, "q"), msgs(long, "q"), 0},
		{"other weights", func(s *Scope) { s.Version = "v2" }, msgs(long, "q"), msgs(long, "q"), 0},
		{"fields shifted", func(s *Scope) { s.Team, s.Model = "harbours", "cribe" }, msgs(long), msgs(long), 0},
		{"differ early", same, msgs("a"+long, "q"), msgs("b"+long, "q"), 0},
		{"same blocks, longer message", same, msgs(long + "y"), msgs(long + "z"), 3},
		{"message boundary moved", same, msgs("ab", "c"), msgs("a", "bc"), 0},
		{"role moved into text", same, msgs("a"), []qm.Message{{Role: "use", Content: "ra"}}, 0},
		{"message ends at a block", same, msgs(long[:blockBytes] + "y"),
			[]qm.Message{{Role: "user", Content: long[:blockBytes]}, {Content: "y"}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			other := with(tt.edit)
			if got := shared(base.Spans(tt.a), other.Spans(tt.b)); got != tt.want {
				t.Errorf("shared keys = %d, want %d", got, tt.want)
			}
			if other != base && other.Salt() == base.Salt() {
				t.Errorf("salt of %v equals that of %v", other, base)
			}
		})
	}
}

// TestEnds guards against cuts that drift from the engine's blocks when messages do not fill them.
func TestEnds(t *testing.T) {
	spans := Scope{}.Spans(msgs(strings.Repeat("x", blockBytes/2), strings.Repeat("y", blockBytes), ""))
	var got []qm.Tokens
	for _, s := range spans {
		got = append(got, s.End)
	}
	if diff := cmp.Diff([]qm.Tokens{2000, 4000, 6000, 6000}, got); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
}

// TestChain guards against keys that depend on later text, which would make every prompt unique.
func TestChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.StringN(0, -1, 3*blockBytes), 1, 4).Draw(t, "parts")
		more := rapid.SliceOfN(rapid.String(), 0, 3).Draw(t, "more")
		s := Scope{Team: qm.TeamID(rapid.String().Draw(t, "team"))}
		short, long := s.Spans(msgs(parts...)), s.Spans(msgs(append(parts, more...)...))
		if diff := cmp.Diff(short, long[:len(short)]); diff != "" {
			t.Fatalf("prefix changed by later messages:\n%s", diff)
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	m := msgs(strings.Repeat("x", 32000), strings.Repeat("y", 24000), strings.Repeat("z", 16000), "question")
	s := Scope{Team: "harbour", Model: "scribe", Version: "v1"}
	var dst []qm.PrefixSpan
	b.ReportAllocs()
	for b.Loop() {
		dst = s.Append(dst[:0], m)
	}
}
