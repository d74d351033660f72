package verbs_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"quetzalmount.dev/quetzalmount/internal/cli/verbs"
	"quetzalmount.dev/quetzalmount/internal/infra/conf"
)

var update = flag.Bool("update", false, "rewrite golden files")

func run(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = verbs.Main(context.Background(), append([]string{"quetzalmount"}, args...), &out, &errOut)
	return code, out.String(), errOut.String()
}

// TestHelp compares the help texts with the golden file, so that no command or flag changes by accident.
func TestHelp(t *testing.T) {
	var all strings.Builder
	for _, args := range [][]string{
		{"--help"}, {"serve", "--help"}, {"check", "--help"}, {"table", "--help"}, {"status", "--help"}, {"metrics", "--help"},
		{"entries", "--help"}, {"call", "--help"}, {"version", "--help"},
	} {
		code, out, errOut := run(args...)
		if code != verbs.ExitOK || errOut != "" {
			t.Errorf("%v: exit %d, %s", args, code, errOut)
		}
		all.WriteString(out + "\n")
	}
	const file = "testdata/help.golden"
	if *update {
		if err := os.WriteFile(file, []byte(all.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), all.String()); diff != "" {
		t.Errorf("help differs (-want +got):\n%s", diff)
	}
}

// TestExitCodes checks the exit code and the message of each kind of failure.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
		return file
	}
	good := write("good.ini", string(conf.Example()))
	bad := write("bad.ini", strings.Replace(string(conf.Example()), "EntrySlots = 6", "EntrySlots = none", 1))
	sheet := write("bad.csv", "Kind,Name,Weight\nteam,a,heavy\n")
	const unusedAddr = "127.0.0.1:9" // the discard port, on which nothing listens
	tests := []struct {
		name   string
		args   []string
		code   int
		output string // substring of stdout or stderr
	}{
		{"version", []string{"version", "--output", "json"}, verbs.ExitOK, `"Version": "dev"`},
		{"output format", []string{"version", "--output", "xml"}, verbs.ExitUsage, "want text or json"},
		{"unknown flag", []string{"serve", "--fast"}, verbs.ExitUsage, "fast"},
		{"settings", []string{"check", "--settings", good}, verbs.ExitOK, "valid"},
		{"bad settings", []string{"check", "--settings", bad}, verbs.ExitUsage, "[Limits] EntrySlots: want a number"},
		{"bad sheet", []string{"check", "--sheet", sheet}, verbs.ExitUsage, "Weight"},
		{"good sheet", []string{"check", "--sheet", "../../../examples/vatulele.csv"}, verbs.ExitOK, "valid"},
		{"nothing to check", []string{"check"}, verbs.ExitUsage, "--settings"},
		{"serve without settings", []string{"serve"}, verbs.ExitUsage, "--settings"},
		{"serve without file", []string{"serve", "--settings", filepath.Join(dir, "none.ini")}, verbs.ExitFailure, "none.ini"},
		{"status of nobody", []string{"status", "--instances", unusedAddr}, verbs.ExitFailure, "1 of 1 instances did not answer"},
		{"metrics of nobody", []string{"metrics", "--instances", unusedAddr}, verbs.ExitFailure, unusedAddr},
		{"entries of nobody", []string{"entries", "--entry", unusedAddr}, verbs.ExitRequestFailed, "refused"},
		{"call of nobody", []string{"call", "--entry", unusedAddr, "--model", "m", "x"}, verbs.ExitFailure, "refused"},
		{"call without text", []string{"call", "--model", "m"}, verbs.ExitUsage, "one argument"},
		{"call of both kinds", []string{"call", "--model", "m", "--service", "s", "x"}, verbs.ExitUsage, "either"},
		{"call without JSON", []string{"call", "--service", "s", "--name", "n", "{"}, verbs.ExitUsage, "JSON"},
		{"table without log", []string{"table", "get"}, verbs.ExitUsage, "log"},
		{"table wait in vain", []string{"table", "wait", "3", "--instances", unusedAddr, "--within", "200ms"}, verbs.ExitNotInForce, "0 of 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, out, errOut := run(tt.args...)
			if code != tt.code || !strings.Contains(out+errOut, tt.output) {
				t.Errorf("exit %d, %q, %q; want %d and %q", code, out, errOut, tt.code, tt.output)
			}
		})
	}
}
