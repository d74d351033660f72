package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/urfave/cli/v3"

	"quetzalmount.dev/quetzalmount/internal/standin/kvsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/lstsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/plnsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
	"quetzalmount.dev/quetzalmount/internal/standin/wgtsrv"
)

func logCommand() *cli.Command {
	return &cli.Command{
		Name: "log", Usage: "append-only log service",
		Flags: []cli.Flag{
			addrFlag(),
			&cli.FloatFlag{Name: "rate", Value: 400, Usage: "appends a second over all streams, 0 for no bound"},
			&cli.DurationFlag{Name: "retention", Usage: "how long records are kept, 0 for ever"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := logsrv.New(logsrv.Options{
				AppendsPerSecond: c.Float("rate"), Retention: c.Duration("retention"), Random: rand.Float64,
			})
			return serve.Run(ctx, c.String("addr"), logsrv.Handler(s), nil)
		},
	}
}

func listCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "instance list",
		Flags: []cli.Flag{
			addrFlag(),
			&cli.StringFlag{Name: "file", Usage: "JSON `FILE` with the first content"},
			&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "how long changes take to be published"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var content []lstsrv.Instance
			if f := c.String("file"); f != "" {
				var err error
				if content, err = lstsrv.LoadFile(f); err != nil {
					return err
				}
			}
			return serve.Run(ctx, c.String("addr"), lstsrv.New(content, c.Duration("lag")).Handler(), nil)
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "plain service",
		Flags: []cli.Flag{
			addrFlag(),
			&cli.BoolFlag{Name: "dedupe", Usage: "run calls with the same Idempotency-Key once"},
			&cli.BoolFlag{Name: "fence", Usage: "refuse stale fencing tokens"},
			&cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond, Usage: "how long a call runs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := plnsrv.New(plnsrv.Options{Dedupes: c.Bool("dedupe"), Fences: c.Bool("fence"), CallTime: c.Duration("work")})
			return serve.RunPaused(ctx, c.String("addr"), s.Handler(), nil, &s.Silence)
		},
	}
}

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name: "weights", Usage: "weight store",
		Flags: []cli.Flag{
			addrFlag(),
			&cli.DurationFlag{Name: "load", Value: 2 * time.Second, Usage: "how long one load takes at full speed"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "requests a second, 0 for no bound"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := wgtsrv.New(wgtsrv.Options{LoadTime: c.Duration("load"), RequestsPerSecond: c.Float("rate")})
			return serve.Run(ctx, c.String("addr"), s.Handler(), nil)
		},
	}
}

func cacheCommand() *cli.Command {
	return &cli.Command{
		Name: "cache", Usage: "cache store",
		Flags: []cli.Flag{
			addrFlag(),
			&cli.IntFlag{Name: "blocks", Value: 10000, Usage: "capacity in blocks"},
			&cli.DurationFlag{Name: "transfer", Value: 10 * time.Millisecond, Usage: "how long one block takes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := kvsrv.New(kvsrv.Options{CapacityBlocks: c.Int("blocks"), TransferTime: c.Duration("transfer")})
			return serve.Run(ctx, c.String("addr"), s.Handler(), nil)
		},
	}
}
