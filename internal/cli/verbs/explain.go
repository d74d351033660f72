package verbs

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalmount.dev/quetzalmount/internal/infra/logs"
)

// maxLogLineBytes is the length of the longest log line that can be read.
const maxLogLineBytes = 1 << 20

// logLine is one JSON log line. Fields without a member here are printed with their raw JSON value.
type logLine struct {
	Time      time.Time
	Instance  string
	Message   string
	RequestID string
	Lines     int
	// fields holds the raw values of all fields of the line by name.
	fields map[string]json.RawMessage
}

func explainCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print what the logs of several instances say of one request, in order",
		UsageText: "quetzalmount explain --request ID FILE...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "request", Usage: "`ID` of the request", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return usageErrorf("explain needs the log files of the instances")
			}
			var found []logLine
			dropped := 0
			for _, name := range c.Args().Slice() {
				lines, fileDropped, err := readLog(name, c.String("request"))
				if err != nil {
					return err
				}
				found, dropped = append(found, lines...), dropped+fileDropped
			}
			return writeExplanation(stdout, c.String("request"), found, dropped)
		},
	}
}

// readLog returns the log lines with the given request ID and the number of lines that the log reports as dropped.
func readLog(name, request string) (found []logLine, dropped int, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read log")
	}
	defer func() { _ = f.Close() }()
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		// A log collector may have put a prefix before the JSON object.
		_, text, ok := bytes.Cut(s.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		text = append([]byte("{"), text...)
		var l logLine
		if json.Unmarshal(text, &l) != nil {
			continue // not a line of a router
		}
		dropped += l.Lines
		if l.RequestID != request {
			continue
		}
		if err := json.Unmarshal(text, &l.fields); err != nil {
			return nil, 0, errors.Wrapf(err, "line of %s", name)
		}
		found = append(found, l)
	}
	return found, dropped, errors.Wrapf(s.Err(), "read %s", name)
}

// headerFields are excluded from the list of fields: they are printed in the heading or as attempts, or not at all.
var headerFields = []string{"Time", "Instance", "Message", logs.RequestID, "Level", "Logger", "Attempts"}

// writeExplanation prints the lines in order of time, each with its fields and attempts.
func writeExplanation(w io.Writer, request string, lines []logLine, dropped int) error {
	if dropped > 0 {
		fmt.Fprintf(w, "note: the logs say that %d lines were dropped, so that some may be missing here\n", dropped)
	}
	if len(lines) == 0 {
		return &exitError{code: ExitFailure, err: errors.Errorf(
			"no line names request %q: ordinary answers are sampled, and a request that no router read leaves none", request)}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	for _, l := range lines {
		fmt.Fprintf(w, "%s %s: %s\n", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
		var keys []string
		for k := range l.fields {
			if !slices.Contains(headerFields, k) {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		for _, k := range keys {
			fmt.Fprintf(w, "    %s %s\n", k, l.fields[k])
		}
		var attempts []map[string]any
		if raw := l.fields["Attempts"]; raw != nil && json.Unmarshal(raw, &attempts) == nil {
			for i, a := range attempts {
				fmt.Fprintf(w, "    attempt %d: endpoint %v at %v, chosen as %v, took %v ms: %v\n", i+1, a["Endpoint"], a["Address"], a["Reason"], a["Took"], a["Outcome"])
			}
		}
	}
	return nil
}
