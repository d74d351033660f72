package loadgn

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

func (s *Summary) setHitRate() {
	if s.Prompt > 0 {
		s.HitRate = float64(s.Cached) / float64(s.Prompt)
	}
}

// Add adds the counts of another run. Times become the worse of the two, since percentiles cannot be added.
func (s *Summary) Add(o *Summary) {
	s.Sent += o.Sent
	s.Served += o.Served
	s.Refused += o.Refused
	s.Unknown += o.Unknown
	s.Lost += o.Lost
	s.Duplicated += o.Duplicated
	s.FalseNotRun += o.FalseNotRun
	s.Short += o.Short
	s.Wrong += o.Wrong
	s.Retried += o.Retried
	s.Prompt += o.Prompt
	s.Cached += o.Cached
	s.Recomputed += o.Recomputed
	s.Failures = append(s.Failures, o.Failures...)
	s.setHitRate()
	s.TTFTP50 = max(s.TTFTP50, o.TTFTP50)
	s.TTFTP99 = max(s.TTFTP99, o.TTFTP99)
	if s.ByTeam == nil {
		s.ByTeam = make(map[string]float64)
	}
	for team, v := range o.ByTeam {
		s.ByTeam[team] = max(s.ByTeam[team], v)
	}
}

// Report writes a table of several runs and, as the last line, a JSON object of all of them together.
func Report(w io.Writer, names []string, sums []*Summary) (*Summary, error) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "run\tsent\tserved\trefused\tunknown\tlost\tduplicated\thit rate\tTTFT p50 ms\tp99 ms\trecomputed tokens\t")
	all := &Summary{}
	for i, s := range sums {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%d\t\n", names[i], s.Sent, s.Served, s.Refused, s.Unknown,
			s.Lost, s.Duplicated, s.HitRate, s.TTFTP50, s.TTFTP99, s.Recomputed)
		all.Add(s)
	}
	if err := t.Flush(); err != nil {
		return nil, errors.WithMessage(err, "write report")
	}
	return all, errors.WithMessage(json.NewEncoder(w).Encode(all), "write report")
}
