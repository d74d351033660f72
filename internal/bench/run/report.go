package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"quetzalmount.dev/quetzalmount/internal/bench/trial"
)

// writeResults prints one line for each result. Times are in milliseconds, recomputed tokens in thousands.
func writeResults(w io.Writer, results []*trial.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tcase\tpolicy\trequests\tbusy\thit\tp50 ms\tp95 ms\tp99 ms\trecomputed k\tshare\tJain\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.2f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t\n", r.Deployment, r.Case, r.Policy,
			r.Requests(), r.Busy, r.HitRate(), 1000*r.TTFTQuantile(0.5), 1000*r.TTFTQuantile(0.95), 1000*r.TTFTQuantile(0.99),
			r.RecomputedTokens()/1000, r.RecomputedShare(), r.JainIndex())
	}
	return t.Flush()
}

// writeRatios prints the comparison with the baselines.
func writeRatios(w io.Writer, ratios []trial.Ratio) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\ndeployment\tcase\thit/best\thit/oracle\tp99/best\trecomputed/best\trecomputed/hash\t")
	for _, r := range ratios {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", r.Deployment, r.Case, r.HitRatio, r.OracleRatio,
			r.TailRatio, r.RecomputeRatio, r.HashRecomputeRatio)
	}
	return t.Flush()
}

// maxBarSeconds is the time at which the bars of overloaded baselines are cut off. Otherwise the other bars would be
// too short to tell apart.
const maxBarSeconds = 6

// writeFiles writes the single results as CSV and plots of the merged ones to dir.
func writeFiles(dir string, merged, single []*trial.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "placement.csv"))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := writeCSV(f, single); err != nil {
		return err
	}
	plots := []struct {
		name, label string
		value       func(*trial.Result) float64
	}{
		{"hit", "prefix hit rate", (*trial.Result).HitRate},
		{"tail", "p99 of time to first token, s; bars end at 6 s", func(r *trial.Result) float64 {
			return math.Min(r.TTFTQuantile(0.99), maxBarSeconds)
		}},
		{"recomputed", "share of prompt tokens recomputed", (*trial.Result).RecomputedShare},
	}
	for _, d := range trial.Deployments() {
		for _, p := range plots {
			if err := saveBarChart(filepath.Join(dir, d.Name+"-"+p.name+".svg"), d.Name, p.label, merged, p.value); err != nil {
				return err
			}
		}
	}
	return f.Close()
}

// writeCSV writes a header and one row for each run. Times are in milliseconds.
func writeCSV(w io.Writer, results []*trial.Result) error {
	c := csv.NewWriter(w)
	_ = c.Write([]string{
		"Deployment", "Case", "Policy", "Seed", "Requests", "Busy", "HitRate", "P50Ms", "P95Ms", "P99Ms",
		"RecomputedTokens", "RecomputedShare", "Jain",
	})
	format := func(x float64, digits int) string { return strconv.FormatFloat(x, 'f', digits, 64) }
	for _, r := range results {
		_ = c.Write([]string{
			r.Deployment, r.Case, r.Policy, strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Requests()), format(r.Busy, 4),
			format(r.HitRate(), 5), format(1000*r.TTFTQuantile(0.5), 2), format(1000*r.TTFTQuantile(0.95), 2),
			format(1000*r.TTFTQuantile(0.99), 2), format(r.RecomputedTokens(), 0), format(r.RecomputedShare(), 5),
			format(r.JainIndex(), 4),
		})
	}
	c.Flush()
	return c.Error()
}

// saveBarChart writes a chart of one deployment to path, with a group of bars for each case and a bar for each policy.
func saveBarChart(path, deployment, label string, results []*trial.Result, value func(*trial.Result) float64) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Legend.Top = deployment, label, true
	const width = 7
	var cases, policies []string
	values := map[string]plotter.Values{}
	for _, r := range results {
		if r.Deployment != deployment {
			continue
		}
		if len(cases) == 0 || cases[len(cases)-1] != r.Case {
			cases = append(cases, r.Case)
		}
		if len(cases) == 1 {
			policies = append(policies, r.Policy)
		}
		values[r.Policy] = append(values[r.Policy], value(r))
	}
	for i, name := range policies {
		b, err := plotter.NewBarChart(values[name], vg.Points(width))
		if err != nil {
			return err
		}
		b.Color, b.LineStyle.Width = plotutil.Color(i), 0
		b.Offset = vg.Points(width * (float64(i) - float64(len(policies)-1)/2))
		p.Add(b)
		p.Legend.Add(name, b)
	}
	p.NominalX(cases...)
	p.Y.Min = 0
	p.Y.Max *= 1.5
	return p.Save(26*vg.Centimeter, 10*vg.Centimeter, path)
}
