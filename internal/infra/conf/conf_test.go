package conf_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	"quetzalmount.dev/quetzalmount/internal/infra/conf"
)

var update = flag.Bool("update", false, "rewrite golden files")

const exampleFile = "../../../examples/router.ini"

// TestExample guards against an example file that is out of date with the declared keys.
func TestExample(t *testing.T) {
	got := conf.Example()
	if *update {
		if err := os.WriteFile(exampleFile, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s is out of date; run go test -update", exampleFile)
	}
	if _, err := conf.Parse(exampleFile, got); err != nil {
		t.Errorf("Parse(Example()) = %v", err)
	}
}

// TestParseErrors checks that unknown, duplicate, missing and invalid settings are rejected with the section and key.
func TestParseErrors(t *testing.T) {
	base := string(conf.Example())
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown key", "EntrySlots = 6", "EntrySlot = 6", []string{"x.ini: [Limits] EntrySlot: unknown key"}},
		{"unknown section", "[Limits]", "[Limit]", []string{"x.ini: [Limit]: unknown section"}},
		{"range", "EntrySlots = 6", "EntrySlots = 0", []string{"x.ini: [Limits] EntrySlots: 0 is out of range"}},
		{"fraction of a count", "EntrySlots = 6", "EntrySlots = 6.5", []string{"EntrySlots: want a whole number"}},
		{"not a number", "EntrySlots = 6", "EntrySlots = NaN", []string{"EntrySlots: want a number"}},
		{"duration", "Round = 500ms", "Round = fast", []string{"[Peers] Round: want a duration"}},
		{"host name", "Callers = 127.0.0.1:8080", "Callers = localhost:8080", []string{"not an IP address"}},
		{"duplicate", "EntrySlots = 6", "EntrySlots = 6\nEntrySlots = 7", []string{"[Limits] EntrySlots: is set more than once"}},
		{"missing", "Name = entry-1", "", []string{"x.ini: [Instance] Name: is missing"}},
		{"short key", "Key = change-me-before-use", "Key = short", []string{"[Peers] Key: is shorter"}},
		{"certificate without key", "# CallersCert =", "CallersCert = a.pem", []string{"[TLS] CallersKey: CallersCert and CallersKey go together"}},
		{"peers without CA", "# PeersCert =", "PeersCert = a.pem", []string{"[TLS] PeersCert: PeersCert, PeersKey and PeersCA"}},
		{"two errors", "EntrySlots = 6\n", "EntrySlots = 0\nBurst = 1\n",
			[]string{"[Limits] EntrySlots", "[Limits] Burst: unknown key"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(base, tt.old) {
				t.Fatalf("the example file does not contain %q", tt.old)
			}
			_, err := conf.Parse("x.ini", []byte(strings.Replace(base, tt.old, tt.new, 1)))
			if err == nil {
				t.Fatal("Parse() succeeded, want an error")
			}
			for _, w := range tt.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("Parse() = %q, want it to contain %q", err, w)
				}
			}
		})
	}
}

// FuzzParse guards against panics on malformed files, and against invalid settings that are accepted.
func FuzzParse(f *testing.F) {
	f.Add(conf.Example())
	f.Add([]byte("[Limits]\nEntrySlots = -1\n"))
	f.Add([]byte("[Limits\n=\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := conf.Parse("fuzz.ini", data)
		if err == nil && (s.EntrySlots < 1 || s.Instance == "") {
			t.Errorf("Parse() accepted %+v", s)
		}
	})
}
