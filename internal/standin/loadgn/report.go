package loadgn

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

func (s *Summary) updateHitRate() {
	if s.Prompt > 0 {
		s.HitRate = float64(s.Cached) / float64(s.Prompt)
	}
}

// Add adds the counts of another run. Each time becomes the larger of the two, since percentiles can't be added.
func (s *Summary) Add(other *Summary) {
	s.Sent += other.Sent
	s.Served += other.Served
	s.Refused += other.Refused
	s.Unknown += other.Unknown
	s.Lost += other.Lost
	s.Duplicated += other.Duplicated
	s.FalseNotRun += other.FalseNotRun
	s.Short += other.Short
	s.Wrong += other.Wrong
	s.Retried += other.Retried
	s.AdvisedDown += other.AdvisedDown
	s.Prompt += other.Prompt
	s.Cached += other.Cached
	s.Recomputed += other.Recomputed
	s.Failures = append(s.Failures, other.Failures...)
	s.updateHitRate()
	s.TTFTP50 = max(s.TTFTP50, other.TTFTP50)
	s.TTFTP99 = max(s.TTFTP99, other.TTFTP99)
	if s.ByTeam == nil {
		s.ByTeam = make(map[string]float64)
	}
	for team, v := range other.ByTeam {
		s.ByTeam[team] = max(s.ByTeam[team], v)
	}
}

// WriteReport writes a table of several runs, followed by one line with the JSON object of their total, which it returns.
func WriteReport(w io.Writer, names []string, sums []*Summary) (*Summary, error) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "run\tsent\tserved\trefused\tunknown\tlost\tduplicated\thit rate\tTTFT p50 ms\tp99 ms\trecomputed tokens\t")
	total := &Summary{}
	for i, s := range sums {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%d\t\n", names[i], s.Sent, s.Served, s.Refused, s.Unknown,
			s.Lost, s.Duplicated, s.HitRate, s.TTFTP50, s.TTFTP99, s.Recomputed)
		total.Add(s)
	}
	if err := t.Flush(); err != nil {
		return nil, errors.WithMessage(err, "write report")
	}
	return total, errors.WithMessage(json.NewEncoder(w).Encode(total), "write report")
}
