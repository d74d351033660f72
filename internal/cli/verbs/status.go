package verbs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/wire/admin"
)

// queryTimeout limits one request for information to a router.
const queryTimeout = 5 * time.Second

// operatorKey is the key that authenticates an operator.
type operatorKey string

// OperatorKey implements admin.SecuritySource.
func (k operatorKey) OperatorKey(context.Context, admin.OperationName) (admin.OperatorKey, error) {
	return admin.OperatorKey{Token: string(k)}, nil
}

func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "instances", Usage: "operators' `HOST:PORT` of each instance, separated by commas",
			Sources: cli.EnvVars("QUETZALMOUNT_INSTANCES"), Value: []string{"127.0.0.1:8081"},
		},
		&cli.StringFlag{Name: "operator-key", Usage: "operators' `KEY`", Sources: cli.EnvVars("QUETZALMOUNT_OPERATOR_KEY")},
		&cli.BoolFlag{Name: "tls", Usage: "use TLS"},
	}
}

func adminClient(c *cli.Command, address string) (*admin.Client, error) {
	client, err := admin.NewClient(baseURL(c, address), operatorKey(c.String("operator-key")),
		admin.WithClient(&http.Client{Timeout: queryTimeout}))
	return client, errors.WithMessage(err, "make client")
}

func baseURL(c *cli.Command, address string) string {
	if c.Bool("tls") {
		return "https://" + address
	}
	return "http://" + address
}

// instanceView is the status that one instance returned, or the error of the request.
type instanceView struct {
	Address string
	Status  *admin.Status `json:",omitempty"`
	Error   string        `json:",omitempty"`
}

func statusCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show instances, endpoints and teams as the named instances see them",
		UsageText: "quetzalmount status --instances 10.0.0.1:8081,10.0.0.2:8081",
		Flags:     append(adminFlags(), outputFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			var views []instanceView
			failed := 0
			for _, address := range c.StringSlice("instances") {
				v := instanceView{Address: address}
				client, err := adminClient(c, address)
				if err != nil {
					return err
				}
				if v.Status, err = client.GetStatus(ctx); err != nil {
					v.Error = err.Error()
					failed++
				}
				views = append(views, v)
			}
			if err := writeResult(c, stdout, views, func(w io.Writer) { writeViews(w, views) }); err != nil {
				return err
			}
			if failed > 0 {
				return errors.Errorf("%d of %d instances did not answer", failed, len(views))
			}
			return nil
		},
	}
}

func metricsCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "metrics", Usage: "print the metrics of the named instances in the Prometheus text format",
		UsageText: "quetzalmount metrics --instances 10.0.0.1:8081",
		Flags:     adminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			for _, address := range c.StringSlice("instances") {
				if err := printMetrics(ctx, c, address, stdout); err != nil {
					return errors.WithMessagef(err, "metrics of %s", address)
				}
			}
			return nil
		},
	}
}

// httpClient checks the status and the end of answers like the routers' clients do.
var httpClient = &http.Client{Transport: pool.New(pool.Options{}).Unpooled()}

func printMetrics(ctx context.Context, c *cli.Command, address string, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(c, address)+"/metrics", nil)
	if err != nil {
		return usageErrorf("--instances %q: %v", address, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.String("operator-key"))
	res, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	_, err = io.Copy(stdout, res.Body)
	return err
}

func writeViews(out io.Writer, views []instanceView) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	for _, v := range views {
		if v.Status == nil {
			fmt.Fprintf(w, "%s\tno answer: %s\n", v.Address, v.Error)
			continue
		}
		s := v.Status
		fmt.Fprintf(w, "%s at %s\t%s\ttable offset %d\n", s.Instance, v.Address, s.State, s.TableOffset)
		for _, i := range s.Instances {
			fmt.Fprintf(w, "  instance %s\t%s\t%s\t%s\toffset %d\n", i.Instance, i.State, i.DataCentre, i.Address, i.TableOffset)
		}
		for _, e := range s.Endpoints {
			fmt.Fprintf(w, "  %s %s\t%s\t%s\t%s\tversion %s, wanted %s, %s\t%d running, %d waiting\n", e.Kind, e.Endpoint, e.State,
				e.Group, e.Address, orDash(e.Version.Value), orDash(e.DesiredVersion.Value), orDash(e.Step.Value), e.Running.Value, e.Waiting.Value)
		}
		for _, t := range s.Teams {
			fmt.Fprintf(w, "  team %s\t%d in flight\t%d queued\n", t.Team, t.InFlight, t.Queued)
		}
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
