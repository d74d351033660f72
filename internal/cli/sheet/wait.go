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
	// pollInterval is the time between two requests to an instance, short compared with the target of 4 s for a change to be in force.
	pollInterval = 100 * time.Millisecond
	// pollTimeout limits one request, so that a stalled connection does not use up the time given by --within.
	pollTimeout = 2 * time.Second
)

func (a *app) wait() *cli.Command {
	return newSubcommand("wait", "[OFFSET]", "wait until a change is in force at all instances",
		"Asks the operators' interface of each instance until its table has the offset, or all that the log holds now.\n"+
			example("quetzalmount table wait 17 --instances 127.0.0.1:8081,127.0.0.2:8081 --within 4s",
				"quetzalmount table wait --log 127.0.0.1:7001 --instances 127.0.0.1:8081,127.0.0.2:8081"),
		0, 1, func(ctx context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				_, t, err := a.loadEditor(ctx, c)
				if err != nil {
					return err
				}
				return a.waitInForce(ctx, c, t.Offset())
			}
			off, err := strconv.ParseInt(c.Args().First(), 10, 64)
			if err != nil || off < 1 {
				return exitErrorf(ExitUsage, "%q is not an offset", c.Args().First())
			}
			return a.waitInForce(ctx, c, qm.Offset(off))
		})
}

// waitResult is the output of the subcommand wait.
type waitResult struct {
	Offset    qm.Offset
	InForce   int
	Instances []*instanceResult
}

// instanceResult is the last status or error of one instance.
type instanceResult struct {
	Address     string
	Instance    string    `json:",omitempty"`
	TableOffset qm.Offset `json:",omitempty"`
	InForce     bool
	Error       string `json:",omitempty"`
}

// waitInForce polls all instances concurrently until each has applied the table offset off, or the time given by --within has passed.
func (a *app) waitInForce(ctx context.Context, c *cli.Command, off qm.Offset) error {
	addresses := c.StringSlice("instances")
	if len(addresses) == 0 {
		return exitErrorf(ExitUsage, "the instances are missing: set --instances or QUETZALMOUNT_INSTANCES")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("within"))
	defer cancel()
	result := &waitResult{Offset: off, Instances: make([]*instanceResult, len(addresses))}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	var wg sync.WaitGroup
	for i, address := range addresses {
		in := &instanceResult{Address: address}
		result.Instances[i] = in
		client, err := admin.NewClient(baseURL(address), operatorKey(c.String("operator-key")),
			admin.WithClient(&http.Client{Transport: transport}))
		if err != nil {
			return wrapExitError(ExitUsage, err, "instance "+address)
		}
		wg.Go(func() { in.poll(ctx, client, off) })
	}
	wg.Wait()
	for _, in := range result.Instances {
		if in.InForce {
			result.InForce++
		}
	}
	if err := render(c, result, result.text); err != nil {
		return err
	}
	if result.InForce < len(result.Instances) {
		return exitErrorf(ExitNotInForce, "offset %d is in force at %d of %d instances after %s", off, result.InForce,
			len(result.Instances), c.Duration("within"))
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

// poll requests the status until the instance has applied the table offset off or the context ends.
func (in *instanceResult) poll(ctx context.Context, client admin.Invoker, off qm.Offset) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		status, err := client.GetStatus(callCtx)
		cancel()
		if err == nil {
			in.Instance, in.TableOffset, in.Error = status.Instance, qm.Offset(status.TableOffset), ""
			if in.InForce = in.TableOffset >= off; in.InForce {
				return
			}
		} else if ctx.Err() == nil || in.Error == "" && in.Instance == "" {
			// The end of the wait says nothing about an instance whose offset or error is known.
			in.Error = errors.Cause(err).Error()
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (r *waitResult) text(w io.Writer) error {
	for _, in := range r.Instances {
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
	_, err := fmt.Fprintf(w, "offset %d in force at %d of %d instances\n", r.Offset, r.InForce, len(r.Instances))
	return err
}
