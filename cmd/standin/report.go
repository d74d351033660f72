package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalmount.dev/quetzalmount/internal/standin/loadgn"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "print the summaries of several loads and their sum", ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			var names []string
			var sums []*loadgn.Summary
			for _, path := range c.Args().Slice() {
				data, err := os.ReadFile(path)
				if err != nil {
					return errors.WithMessage(err, "read summary")
				}
				var s loadgn.Summary
				if err := json.Unmarshal(data, &s); err != nil {
					return errors.WithMessagef(err, "decode %s", path)
				}
				names = append(names, strings.TrimSuffix(filepath.Base(path), "-load.json"))
				sums = append(sums, &s)
			}
			all, err := loadgn.WriteReport(os.Stdout, names, sums)
			if err != nil {
				return err
			}
			if all.Sent == 0 || all.Failed() {
				return errors.New("an answer was lost, doubled, short or wrong, or nothing was sent")
			}
			return nil
		},
	}
}
