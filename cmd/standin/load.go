package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalmount.dev/quetzalmount/internal/standin/loadgn"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "callers that send traffic and check every answer",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "`HOST:PORT` of a router, may be repeated", Required: true},
			&cli.StringSliceFlag{Name: "team", Usage: "`NAME=KEY` of a team, may be repeated", Required: true},
			&cli.StringSliceFlag{Name: "model", Usage: "model to ask, may be repeated", Required: true},
			&cli.StringFlag{Name: "service", Usage: "plain service to call"},
			&cli.StringSliceFlag{Name: "call", Usage: "call of the service that must not run twice, may be repeated"},
			&cli.StringSliceFlag{Name: "service-addr", Usage: "`HOST:PORT` of a process of the service, may be repeated"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long requests are sent"},
			&cli.FloatFlag{Name: "completions", Value: 20, Usage: "completions a second"},
			&cli.FloatFlag{Name: "calls", Usage: "calls a second"},
			&cli.IntSliceFlag{Name: "level", Value: []int{8000, 8000, 4000}, Usage: "tokens of the three prompt levels"},
			&cli.IntFlag{Name: "max-tokens", Value: 20, Usage: "length of the answers in tokens"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random choices"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	opts, err := loadOptions(c)
	if err != nil {
		return err
	}
	sum, err := loadgn.New(opts).Do(ctx)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(sum); err != nil {
		return errors.WithMessage(err, "write summary")
	}
	if sum.Failed() {
		return errors.New("an answer was lost, doubled, short or wrong")
	}
	return nil
}

func loadOptions(c *cli.Command) (loadgn.Options, error) {
	o := loadgn.Options{
		Entries: c.StringSlice("entry"), Models: c.StringSlice("model"), Service: c.String("service"),
		Calls: c.StringSlice("call"), Services: c.StringSlice("service-addr"), Duration: c.Duration("duration"),
		CompletionsPerSecond: c.Float("completions"), CallsPerSecond: c.Float("calls"), MaxTokens: c.Int("max-tokens"),
		Seed: c.Uint64("seed"),
	}
	levels := c.IntSlice("level")
	if len(levels) != len(o.PromptTokens) {
		return o, errors.Errorf("--level: want %d values, got %d", len(o.PromptTokens), len(levels))
	}
	copy(o.PromptTokens[:], levels)
	if o.CallsPerSecond > 0 && (o.Service == "" || len(o.Calls) == 0) {
		return o, errors.New("--calls needs --service and --call")
	}
	for _, t := range c.StringSlice("team") {
		name, key, ok := strings.Cut(t, "=")
		if !ok {
			return o, fmt.Errorf("--team %q: want NAME=KEY", t)
		}
		o.Teams = append(o.Teams, loadgn.Team{Name: name, Key: key})
	}
	return o, nil
}
