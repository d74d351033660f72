package table

import (
	"strings"
	"testing"
	"unicode"
)

// TestProblemText guards against messages with control characters of a sheet, which a terminal would interpret.
func TestProblemText(t *testing.T) {
	p := Problem{Line: 2, Row: Key{Kind: "Team", Name: "\x1b[31mred\a"}, Column: "K\xff\x00", Reason: "wrong"}
	for _, r := range p.String() {
		if unicode.IsControl(r) || r == unicode.ReplacementChar {
			t.Fatalf("problem %q holds %q", p.String(), r)
		}
	}
	plain := Problem{Row: Key{Kind: "Team", Name: "rúin"}, Column: "Keys", Reason: "wrong"}
	if got := plain.String(); !strings.Contains(got, "rúin") || strings.Contains(got, `"`) {
		t.Errorf("a plain name is quoted: %s", got)
	}
}
