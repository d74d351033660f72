package verbs_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"quetzalmount.dev/quetzalmount/internal/cli/verbs"
)

// TestExplain compares the output for a request that two instances logged with the golden file.
func TestExplain(t *testing.T) {
	var out, errs bytes.Buffer
	args := []string{"quetzalmount", "explain", "--request", "r-1", filepath.Join("testdata", "explain-a.log"), filepath.Join("testdata", "explain-b.log")}
	if code := verbs.Main(t.Context(), args, &out, &errs); code != verbs.ExitOK {
		t.Fatalf("exit code %d: %s", code, &errs)
	}
	golden := filepath.Join("testdata", "explain.golden")
	if *update {
		if err := os.WriteFile(golden, out.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("got:\n%swant:\n%s", &out, want)
	}
	args[3] = "nobody"
	if code := verbs.Main(t.Context(), args, &out, &errs); code != verbs.ExitFailure {
		t.Errorf("a request that no line names: exit code %d", code)
	}
}
