// Command soak runs routers, engines and the platform's store as separate processes on this machine, injects random faults into the
// processes and their connections, and checks the guarantees to callers and operators while simulated callers send requests. It prints
// one line for each seed.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"quetzalmount.dev/quetzalmount/internal/soak/fleet"
	"quetzalmount.dev/quetzalmount/internal/soak/round"
)

func main() {
	if err := command(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func command(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "inject random faults into a deployment on this machine and check its guarantees",
		Flags: []cli.Flag{
			&cli.Uint64SliceFlag{Name: "seed", Usage: "run the round of this `SEED`, may be repeated; the default is random seeds"},
			&cli.IntFlag{Name: "rounds", Value: 1, Usage: "number of random seeds"},
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "number of concurrent rounds"},
			&cli.DurationFlag{Name: "length", Value: 15 * time.Second, Usage: "time within which faults begin"},
			&cli.IntFlag{Name: "troubles", Value: 16, Usage: "maximum number of faults in a round; a series counts once"},
			&cli.IntFlag{Name: "routers", Value: 4, Usage: "number of routers"},
			&cli.IntFlag{Name: "engines", Value: 4, Usage: "number of model engines"},
			&cli.IntFlag{Name: "desks", Value: 2, Usage: "number of processes of the plain service"},
			&cli.BoolFlag{Name: "overload", Value: true, Usage: "make the engines refuse most requests for some time"},
			&cli.BoolFlag{Name: "silence", Value: true, Usage: "make engines fall silent at any byte and go on for some time"},
			&cli.BoolFlag{Name: "reconfigure", Value: true, Usage: "change all of the configuration, not only its keys"},
			&cli.BoolFlag{Name: "restore", Value: true, Usage: "make the store return from a copy that is some seconds old"},
			&cli.IntFlag{Name: "callers", Value: 24, Usage: "number of callers"},
			&cli.StringFlag{Name: "bin", Usage: "`DIR` with the programs; without it they are built"},
			&cli.StringFlag{Name: "logs", Value: filepath.Join(os.TempDir(), "quetzalmount-soak"), Usage: "`DIR` for the logs of rounds that violated a guarantee"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, stdout) },
	}
}

func run(ctx context.Context, c *cli.Command, stdout io.Writer) error {
	bin := c.String("bin")
	if bin == "" {
		dir, err := os.MkdirTemp("", "quetzalmount-soak-bin")
		if err != nil {
			return errors.Wrap(err, "create directory for programs")
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if err := fleet.Build(ctx, dir); err != nil {
			return err
		}
		bin = dir
	}
	seeds := c.Uint64Slice("seed")
	if len(seeds) == 0 {
		for range c.Int("rounds") {
			seeds = append(seeds, uint64(rand.Uint32()))
		}
	}
	results := make(chan round.Result)
	var g errgroup.Group
	g.SetLimit(max(1, c.Int("jobs")))
	done := make(chan error, 1)
	go func() {
		for _, seed := range seeds {
			g.Go(func() error {
				r, err := round.Run(round.Options{
					Seed: seed, Bin: bin, Dir: c.String("logs"), Duration: c.Duration("length"), MaxFaults: c.Int("troubles"),
					Routers: c.Int("routers"), Engines: c.Int("engines"), PlainProcesses: c.Int("desks"), Callers: c.Int("callers"), Overload: c.Bool("overload"),
					Silence: c.Bool("silence"), Reconfigure: c.Bool("reconfigure"), Restore: c.Bool("restore"),
				})
				results <- r
				return err
			})
		}
		done <- g.Wait()
		close(results)
	}()
	failed := 0
	for r := range results {
		fmt.Fprintln(stdout, r)
		if len(r.Violations) > 0 {
			failed++
		}
	}
	if err := <-done; err != nil {
		return err
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds violated a guarantee", failed, len(seeds))
	}
	return nil
}
