// Command run compares the placement policies by simulation and writes the results to docs/bench. The last line that it
// prints is one JSON object.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/bench/trial"
)

// evaluatedPolicy, oraclePolicy and hashPolicy are the names of the policies that the comparison treats specially. All
// others are baselines, as is hashPolicy.
const evaluatedPolicy, oraclePolicy, hashPolicy = "expected", "oracle", "hash"

func main() {
	numSeeds := flag.Int("seeds", 8, "number of seeds")
	firstSeed := flag.Uint64("first", 201, "first seed")
	dir := flag.String("out", "docs/bench", "folder for CSV and SVG files, empty for none")
	study := flag.Bool("study", false, "compare variants of the policies instead")
	caseName := flag.String("case", "", "run only this case")
	flag.Parse()
	if err := run(*firstSeed, *numSeeds, *dir, *study, *caseName); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(firstSeed uint64, numSeeds int, dir string, study bool, caseName string) error {
	var seeds []uint64
	for i := range numSeeds {
		seeds = append(seeds, firstSeed+uint64(i))
	}
	var cases []trial.Case
	for _, c := range trial.Cases() {
		if caseName == "" || c.Name == caseName {
			cases = append(cases, c)
		}
	}
	if study {
		merged, _ := trial.RunAll(trial.Deployments(), cases, trial.Variants(), seeds)
		return writeResults(os.Stdout, merged)
	}
	merged, single := trial.RunAll(trial.Deployments(), cases, trial.Policies(), seeds)
	if err := writeResults(os.Stdout, merged); err != nil {
		return errors.Wrap(err, "print table")
	}
	ratios := trial.Compare(merged, evaluatedPolicy, oraclePolicy, hashPolicy)
	if err := writeRatios(os.Stdout, ratios); err != nil {
		return errors.Wrap(err, "print ratios")
	}
	if dir != "" {
		if err := writeFiles(dir, merged, single); err != nil {
			return errors.Wrapf(err, "write %s", dir)
		}
	}
	line, err := json.Marshal(map[string]any{"FirstSeed": firstSeed, "Seeds": numSeeds, "Cases": ratios})
	if err != nil {
		return errors.Wrap(err, "encode ratios")
	}
	_, err = fmt.Println(string(line))
	return err
}
