package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalmount.dev/quetzalmount/internal/standin/serve"
	"quetzalmount.dev/quetzalmount/platform/fake"
)

// storeTimeout bounds one call of an engine to the store.
const storeTimeout = time.Second

func platformStoreCommand() *cli.Command {
	return &cli.Command{
		Name: "platform-store", Usage: "the store of the users' platform", Flags: []cli.Flag{address()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve.Run(ctx, c.String("addr"), fake.NewStore(), nil)
		},
	}
}

func platformEngineCommand() *cli.Command {
	return &cli.Command{
		Name: "platform-engine", Usage: "an engine on the users' platform, or a process of a plain service if it has no model",
		Flags: []cli.Flag{
			address(),
			&cli.StringFlag{Name: "advertise", Usage: "`HOST:PORT` that its entry in the store names", Required: true},
			&cli.StringFlag{Name: "store", Usage: "`HOST:PORT` of the store", Required: true},
			&cli.StringFlag{Name: "topic", Usage: "topic of the entries", Value: "keyed.servers"},
			&cli.StringFlag{Name: "id", Usage: "`ID` of the engine", Required: true},
			&cli.StringFlag{Name: "service", Usage: "service that it belongs to", Required: true},
			&cli.StringFlag{Name: "model", Usage: "model that it has"},
			&cli.Int64Flag{Name: "version", Value: 1, Usage: "version of its weights"},
			&cli.DurationFlag{Name: "heartbeat", Value: 300 * time.Millisecond, Usage: "time between two entries"},
			&cli.DurationFlag{Name: "drain", Value: 2 * time.Second, Usage: "how long it serves after it said that it leaves"},
			&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond, Usage: "time of a plain answer, or between two events"},
			&cli.DurationFlag{Name: "load", Value: 300 * time.Millisecond, Usage: "time that new weights take"},
		},
		Action: runPlatformEngine,
	}
}

// registrar writes the entry of an engine to the store.
type registrar struct {
	engine           *fake.Engine
	url, advertise   string
	heartbeat, drain time.Duration
	client           http.Client
	// writing keeps an entry that is being written from replacing the one that says that the engine leaves.
	writing sync.Mutex
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
		_ = out.Encode(ev) // whoever started the engine reads its output, or nobody does
	}
	r := &registrar{
		engine: e, url: "http://" + c.String("store") + "/admin/put/" + c.String("topic") + "/" + c.String("id"), advertise: c.String("advertise"),
		heartbeat: c.Duration("heartbeat"), drain: c.Duration("drain"), client: http.Client{Timeout: storeTimeout},
	}
	go r.beat(ctx)
	return serve.Run(ctx, c.String("addr"), e, r.leave)
}

// beat writes the entry until the engine leaves.
func (r *registrar) beat(ctx context.Context) {
	for serve.Sleep(ctx, r.heartbeat) {
		r.write(ctx)
	}
}

func (r *registrar) write(ctx context.Context) {
	r.writing.Lock()
	defer r.writing.Unlock()
	if ctx.Err() == nil {
		if err := r.call(http.MethodPut, r.engine.Entry(r.advertise, "ready")); err != nil {
			r.engine.Notify(fake.Event{Time: time.Now(), Engine: r.engine.ID, Kind: "NotListed", Detail: err.Error()})
		}
	}
}

// leave says that the engine leaves, serves a little longer, and takes its entry away.
func (r *registrar) leave() {
	r.writing.Lock()
	defer r.writing.Unlock()
	if err := r.call(http.MethodPut, r.engine.Entry(r.advertise, "draining")); err == nil {
		r.engine.Leaving()
	}
	time.Sleep(r.drain)
	if err := r.call(http.MethodDelete, nil); err != nil {
		r.engine.Notify(fake.Event{Time: time.Now(), Engine: r.engine.ID, Kind: "NotRemoved", Detail: err.Error()})
	}
}

func (r *registrar) call(method string, body []byte) error {
	req, err := http.NewRequest(method, r.url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "write entry")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "write entry")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("write entry: status %d", resp.StatusCode)
	}
	return nil
}
