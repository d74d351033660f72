package sheet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/admin"
)

const (
	// pollInterval is how often an instance is asked; short against the target of 4 s.
	pollInterval = 100 * time.Millisecond
	// pollTimeout bounds one question, so that a stalled connection does not use up the waiting time.
	pollTimeout = 2 * time.Second
)

func (a *app) wait() *cli.Command {
	return sub("wait", "[OFFSET]", "wait until a change is in force at all instances",
		"Asks the operators' interface of each instance until its table has the offset, or all that the log holds now.\n"+
			example("quetzalmount table wait 17 --instances 127.0.0.1:8081,127.0.0.2:8081 --within 4s",
				"quetzalmount table wait --log 127.0.0.1:7001 --instances 127.0.0.1:8081,127.0.0.2:8081"),
		0, 1, func(ctx context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				_, t, err := a.editor(ctx, c)
				if err != nil {
					return err
				}
				return a.inForce(ctx, c, t.Offset())
			}
			off, err := strconv.ParseInt(c.Args().First(), 10, 64)
			if err != nil || off < 1 {
				return fail(ExitInvalid, "%q is not an offset", c.Args().First())
			}
			return a.inForce(ctx, c, qm.Offset(off))
		})
}

// force is the output of wait.
type force struct {
	Offset    qm.Offset
	InForce   int
	Instances []*instance
}

// instance is what one instance said last.
type instance struct {
	Address     string
	Instance    string    `json:",omitempty"`
	TableOffset qm.Offset `json:",omitempty"`
	InForce     bool
	Error       string `json:",omitempty"`
}

// inForce polls all instances at the same time until each has the offset or the time is over.
func (a *app) inForce(ctx context.Context, c *cli.Command, off qm.Offset) error {
	addresses := c.StringSlice("instances")
	if len(addresses) == 0 {
		return fail(ExitInvalid, "the instances are missing: set --instances or QUETZALMOUNT_INSTANCES")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("within"))
	defer cancel()
	f := &force{Offset: off, Instances: make([]*instance, len(addresses))}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	var work sync.WaitGroup
	for i, address := range addresses {
		in := &instance{Address: address}
		f.Instances[i] = in
		client, err := admin.NewClient(baseURL(address), operatorKey(c.String("operator-key")),
			admin.WithClient(&http.Client{Transport: transport}))
		if err != nil {
			return failWith(ExitInvalid, err, "instance "+address)
		}
		work.Go(func() { in.poll(ctx, client, off) })
	}
	work.Wait()
	for _, in := range f.Instances {
		if in.InForce {
			f.InForce++
		}
	}
	if err := render(c, f, f.text); err != nil {
		return err
	}
	if f.InForce < len(f.Instances) {
		return fail(ExitNotInForce, "offset %d is in force at %d of %d instances after %s", off, f.InForce,
			len(f.Instances), c.Duration("within"))
	}
	return nil
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

type operatorKey string

// OperatorKey implements admin.SecuritySource.
func (k operatorKey) OperatorKey(context.Context, admin.OperationName) (admin.OperatorKey, error) {
	return admin.OperatorKey{Token: string(k)}, nil
}

// poll asks until the instance has the offset or the context ends.
func (in *instance) poll(ctx context.Context, client admin.Invoker, off qm.Offset) {
	for {
		asked, cancel := context.WithTimeout(ctx, pollTimeout)
		status, err := client.GetStatus(asked)
		cancel()
		if err == nil {
			in.Instance, in.TableOffset, in.Error = status.Instance, qm.Offset(status.TableOffset), ""
			if in.InForce = in.TableOffset >= off; in.InForce {
				return
			}
		} else if ctx.Err() == nil || in.Error == "" {
			in.Error = errors.Cause(err).Error()
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (f *force) text(w io.Writer) error {
	for _, in := range f.Instances {
		if in.InForce {
			continue
		}
		reason := fmt.Sprintf("has offset %d", in.TableOffset)
		if in.Error != "" {
			reason = in.Error
		}
		if _, err := fmt.Fprintf(w, "  %s: %s\n", in.Address, reason); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "offset %d in force at %d of %d instances\n", f.Offset, f.InForce, len(f.Instances))
	return err
}
