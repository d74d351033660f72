// Command run compares the placement policies and writes the figures to docs/bench. Its last line is one JSON object.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/bench/trial"
)

// ours, oracle and hashing are the names of the policies that the comparison treats apart.
const ours, oracle, hashing = "expected", "oracle", "hash"

func main() {
	seeds := flag.Int("seeds", 8, "number of seeds")
	first := flag.Uint64("first", 201, "first seed")
	out := flag.String("out", "docs/bench", "folder for CSV and SVG files, empty for none")
	study := flag.Bool("study", false, "compare variants of the policies instead")
	only := flag.String("case", "", "run only this case")
	flag.Parse()
	if err := run(*first, *seeds, *out, *study, *only); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(first uint64, seeds int, out string, study bool, only string) error {
	var list []uint64
	for i := range seeds {
		list = append(list, first+uint64(i))
	}
	var cases []trial.Case
	for _, c := range trial.Cases() {
		if only == "" || c.Name == only {
			cases = append(cases, c)
		}
	}
	if study {
		merged, _ := trial.RunAll(trial.Deployments(), cases, trial.Variants(), list)
		return table(os.Stdout, merged)
	}
	merged, single := trial.RunAll(trial.Deployments(), cases, trial.Policies(), list)
	if err := table(os.Stdout, merged); err != nil {
		return errors.Wrap(err, "print table")
	}
	ratios := trial.Compare(merged, ours, oracle, hashing)
	if err := ratioTable(os.Stdout, ratios); err != nil {
		return errors.Wrap(err, "print ratios")
	}
	if out != "" {
		if err := files(out, merged, single); err != nil {
			return errors.Wrapf(err, "write %s", out)
		}
	}
	line, err := json.Marshal(map[string]any{"FirstSeed": first, "Seeds": seeds, "Cases": ratios})
	if err != nil {
		return errors.Wrap(err, "encode ratios")
	}
	_, err = fmt.Println(string(line))
	return err
}
