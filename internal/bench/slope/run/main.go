// Command run runs the measures of package slope. It prints the results as a table and, on the last line, as one JSON
// object.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/bench/slope"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "measure\tsize\tat\tcost\tunit\tbase\tslope per unit of size\t")
	out := map[string]slope.Slope{}
	for _, m := range slope.All() {
		s := slope.Run(m)
		out[s.Name] = s
		for _, p := range s.Points {
			fmt.Fprintf(t, "%s\t%s\t%.0f\t%.1f\t%s\t\t\t\n", s.Name, s.X, p.X, p.Y, s.Y)
		}
		fmt.Fprintf(t, "%s\t\t\t\t%s\t%.1f\t%.4f\t\n", s.Name, s.Y, s.Base, s.PerX)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "print table")
	}
	line, err := json.Marshal(out)
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	_, err = fmt.Println(string(line))
	return err
}
