package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"quetzalmount.dev/quetzalmount/internal/standin/copier"
	"quetzalmount.dev/quetzalmount/internal/standin/pauser"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
	"quetzalmount.dev/quetzalmount/platform/fake"
)

// storeTimeout limits one request of an engine to the store.
const storeTimeout = time.Second

func platformStoreCommand() *cli.Command {
	return &cli.Command{
		Name: "platform-store", Usage: "the store of the users' platform", Flags: []cli.Flag{addrFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve.Run(ctx, c.String("addr"), fake.NewStore(), nil)
		},
	}
}

func platformEngineCommand() *cli.Command {
	return &cli.Command{
		Name: "platform-engine", Usage: "an engine on the users' platform, or a process of a plain service if it has no model",
		Flags: []cli.Flag{
			addrFlag(),
			&cli.StringFlag{Name: "advertise", Usage: "`HOST:PORT` that its entry in the store names", Required: true},
			&cli.StringFlag{Name: "store", Usage: "`HOST:PORT` of the store", Required: true},
			&cli.StringFlag{Name: "id", Usage: "`ID` of the engine", Required: true},
			&cli.StringFlag{Name: "service", Usage: "service that it belongs to", Required: true},
			&cli.StringFlag{Name: "model", Usage: "model that it serves"},
			&cli.Int64Flag{Name: "version", Value: 1, Usage: "version of its weights"},
			&cli.DurationFlag{Name: "heartbeat", Value: 300 * time.Millisecond, Usage: "time between two entries"},
			&cli.DurationFlag{Name: "drain", Value: 2 * time.Second, Usage: "how long it serves after it announced that it leaves"},
			&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond, Usage: "time of a plain answer, or between two events"},
			&cli.DurationFlag{Name: "load", Value: 300 * time.Millisecond, Usage: "time to load new weights"},
			&cli.FloatFlag{Name: "copied-refusals", Usage: "`SHARE` of its refusals after which it writes an earlier answer of the connection again"},
			&cli.FloatFlag{Name: "copied-answers", Usage: "the same for other answers"},
		},
		Action: runPlatformEngine,
	}
}

func runPlatformEngine(ctx context.Context, c *cli.Command) error {
	e := fake.NewEngine(c.String("id"), c.String("service"), "z", c.String("model"))
	e.Work, e.LoadTime, e.Born = c.Duration("work"), c.Duration("load"), time.Now().UnixMilli()
	e.SetVersion(c.Int64("version"))
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	e.Notify = func(ev fake.Event) {
		mu.Lock()
		defer mu.Unlock()
		_ = out.Encode(ev) // fails only if the parent process no longer reads the output
	}
	r := &fake.Registrar{
		Engine: e, Advertise: c.String("advertise"), Heartbeat: c.Duration("heartbeat"), Drain: c.Duration("drain"),
		Store: &fake.Operator{Address: c.String("store"), Client: &http.Client{Timeout: storeTimeout}},
	}
	go r.Run(ctx)
	l, err := pauser.Listen(c.String("addr"))
	if err != nil {
		return err
	}
	l = copier.New(pauser.New(l, &e.Silence), copier.Options{
		IDHeader: fake.RequestIDHeader, RefusalShare: c.Float("copied-refusals"), OtherShare: c.Float("copied-answers"), OnCopy: e.EmitCopy,
	})
	return serve.RunOn(ctx, l, e, r.Deregister)
}
