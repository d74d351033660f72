package logs_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/infra/logs"
)

// TestLinesAreJSON guards against lines that a log pipeline cannot parse, or that pass below the chosen level.
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
		t.Errorf("line has other keys than those given, time, level and message: %s", b.String())
	}
}

// TestNewRefusesLevel guards against a misspelt level that silences the log.
func TestNewRefusesLevel(t *testing.T) {
	if _, err := logs.New(&bytes.Buffer{}, "loud"); err == nil {
		t.Error("New() accepted an unknown level")
	}
}
