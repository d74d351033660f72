package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/engsrv"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "model engine",
		Flags: []cli.Flag{
			addrFlag(),
			&cli.StringFlag{Name: "model", Value: "scribe", Usage: "model name"},
			&cli.StringFlag{Name: "version", Usage: "version of the weights at the start"},
			&cli.StringSliceFlag{Name: "adapter", Usage: "adapter loaded at the start, may be repeated"},
			&cli.StringFlag{Name: "role", Usage: "role at the start"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "batch size"},
			&cli.IntFlag{Name: "queue", Value: 64, Usage: "requests that may wait for a slot"},
			&cli.IntFlag{Name: "blocks", Value: 64, Usage: "capacity of the prefix cache in blocks"},
			&cli.DurationFlag{Name: "prefill", Value: 20 * time.Microsecond, Usage: "time for a prompt token that is not cached"},
			&cli.DurationFlag{Name: "decode", Value: 5 * time.Millisecond, Usage: "time for a generated token"},
			&cli.DurationFlag{Name: "load-lag", Value: 500 * time.Millisecond, Usage: "age of the load report"},
			&cli.DurationFlag{Name: "event-delay", Value: 200 * time.Millisecond, Usage: "delay of cache events"},
			&cli.BoolFlag{Name: "fence", Usage: "refuse stale fencing tokens"},
			&cli.StringFlag{Name: "weights", Usage: "`HOST:PORT` of the weight store"},
			&cli.StringFlag{Name: "cache", Usage: "`HOST:PORT` of the cache store"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := engsrv.New(engineOptions(c))
			defer s.Close()
			return serve.RunPaused(ctx, c.String("addr"), s.Handler(), func() { s.SetLeaving(true) }, &s.Silence)
		},
	}
}

func engineOptions(c *cli.Command) engsrv.Options {
	o := engsrv.Options{
		Model: qm.ModelID(c.String("model")), Version: qm.VersionID(c.String("version")), Role: c.String("role"),
		Slots: c.Int("slots"), QueueLength: c.Int("queue"), CapacityBlocks: c.Int("blocks"),
		PrefillPerToken: c.Duration("prefill"), DecodePerToken: c.Duration("decode"),
		ReportLag: c.Duration("load-lag"), EventDelay: c.Duration("event-delay"), Fences: c.Bool("fence"),
		WeightStore: c.String("weights"), CacheStore: c.String("cache"),
	}
	for _, a := range c.StringSlice("adapter") {
		o.Adapters = append(o.Adapters, qm.AdapterID(a))
	}
	return o
}
