package logs_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/infra/logs"
)

// TestLinesAreJSON checks that lines are JSON objects with the expected keys, and that lines below the level are not
// written.
func TestLinesAreJSON(t *testing.T) {
	var b bytes.Buffer
	log, err := logs.New(&b, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.V(1).Info("hidden")
	log.Error(errors.New("refused"), "request failed", logs.RequestID, "r-1", logs.Team, "a\nb")
	var line map[string]any
	if err := json.Unmarshal(b.Bytes(), &line); err != nil {
		t.Fatalf("line %q: %v", b.String(), err)
	}
	for key, want := range map[string]string{"Error": "refused", logs.RequestID: "r-1", logs.Team: "a\nb", "Level": "error"} {
		if line[key] != want {
			t.Errorf("%s = %v, want %q", key, line[key], want)
		}
	}
	if len(line) != 6 {
		t.Errorf("line has keys besides the given ones, Time, Level and Message: %s", b.String())
	}
}

// TestUnknownLevel guards against a misspelt level that disables logging.
func TestUnknownLevel(t *testing.T) {
	if _, err := logs.New(&bytes.Buffer{}, "loud"); err == nil {
		t.Error("New() accepted an unknown level")
	}
}
