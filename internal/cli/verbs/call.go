package verbs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalmount.dev/quetzalmount/internal/wire/caller"
)

// teamKey is the key that authenticates a team.
type teamKey string

// TeamKey implements caller.SecuritySource.
func (k teamKey) TeamKey(context.Context, caller.OperationName) (caller.TeamKey, error) {
	return caller.TeamKey{Token: string(k)}, nil
}

func entryFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "callers' `HOST:PORT` of an instance", Value: "127.0.0.1:8080",
			Sources: cli.EnvVars("QUETZALMOUNT_ENTRY")},
		&cli.StringFlag{Name: "key", Usage: "`KEY` of the team", Sources: cli.EnvVars("QUETZALMOUNT_KEY")},
		&cli.BoolFlag{Name: "tls", Usage: "use TLS"},
	}
}

func entriesCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "entries", Usage: "ask which addresses a team should use",
		UsageText: "quetzalmount entries --entry 10.0.0.1:8080 --key KEY",
		Flags:     append(entryFlags(), outputFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := caller.NewClient(baseURL(c, c.String("entry")), teamKey(c.String("key")),
				caller.WithClient(&http.Client{Timeout: queryTimeout}))
			if err != nil {
				return errors.WithMessage(err, "make client")
			}
			list, err := client.ListEntries(ctx)
			if err != nil {
				return &exitError{code: ExitRequestFailed, err: err}
			}
			return writeResult(c, stdout, list, func(w io.Writer) {
				for _, e := range list.Entries {
					fmt.Fprintf(w, "%s\t%s\t%s\n", e.Address, e.Instance, e.DataCentre)
				}
				fmt.Fprintf(w, "valid for %d s\n", list.ValidSeconds)
			})
		},
	}
}

func callCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "call", Usage: "send a prompt, or a call to a plain service, and print the answer",
		UsageText: "quetzalmount call --key KEY --model scribe \"What is this line?\"\n" +
			"quetzalmount call --key KEY --service tally --name post --idempotency-key k1 '{\"Amount\":5}'",
		ArgsUsage: "TEXT",
		Flags: append(entryFlags(),
			&cli.StringFlag{Name: "model", Usage: "model to ask"},
			&cli.StringSliceFlag{Name: "system", Usage: "system `TEXT` before the prompt, may be repeated"},
			&cli.IntFlag{Name: "max-tokens", Usage: "length of the answer in tokens"},
			&cli.StringFlag{Name: "service", Usage: "plain service to call"},
			&cli.StringFlag{Name: "name", Usage: "name of the call"},
			&cli.StringFlag{Name: "idempotency-key", Usage: "key that makes the call run at most once"},
			&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "time for the whole answer"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usageErrorf("call takes one argument, the text or the JSON body")
			}
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			switch {
			case c.String("model") != "" && c.String("service") == "":
				return sendPrompt(ctx, c, stdout)
			case c.String("service") != "" && c.String("name") != "" && c.String("model") == "":
				return sendCall(ctx, c, stdout)
			}
			return usageErrorf("call needs either --model, or --service and --name")
		},
	}
}

func sendPrompt(ctx context.Context, c *cli.Command, stdout io.Writer) error {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body := map[string]any{"model": c.String("model"), "stream": true}
	var messages []message
	for _, s := range c.StringSlice("system") {
		messages = append(messages, message{"system", s})
	}
	body["messages"] = append(messages, message{"user", c.Args().First()})
	if n := c.Int("max-tokens"); n > 0 {
		body["max_tokens"] = n
	}
	return post(ctx, c, "/v1/chat/completions", body, stdout)
}

func sendCall(ctx context.Context, c *cli.Command, stdout io.Writer) error {
	if !json.Valid([]byte(c.Args().First())) {
		return usageErrorf("the body of a call must be JSON")
	}
	path := "/v1/services/" + c.String("service") + "/calls/" + c.String("name")
	return post(ctx, c, path, json.RawMessage(c.Args().First()), stdout)
}

// post sends a request and copies the response body to stdout while it arrives.
func post(ctx context.Context, c *cli.Command, path string, body any, stdout io.Writer) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.WithMessage(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(c, c.String("entry"))+path, bytes.NewReader(data))
	if err != nil {
		return usageErrorf("--entry %q: %v", c.String("entry"), err)
	}
	req.Header.Set("Authorization", "Bearer "+c.String("key"))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(c.Duration("timeout").Milliseconds(), 10))
	if k := c.String("idempotency-key"); k != "" {
		req.Header.Set("Idempotency-Key", k)
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return errors.WithMessage(err, "send request")
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(stdout, res.Body); err != nil {
		return &exitError{code: ExitUnknown, err: errors.WithMessage(err, "read answer")}
	}
	fmt.Fprintln(stdout)
	switch {
	case res.StatusCode == http.StatusAccepted:
		return &exitError{code: ExitUnknown, err: errors.New("the outcome is not known yet; look the operation up")}
	case res.StatusCode >= http.StatusBadRequest:
		return &exitError{code: ExitRequestFailed, err: errors.Errorf("refused with status %d", res.StatusCode)}
	}
	return nil
}
