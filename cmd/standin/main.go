// Command standin runs one fake of an outside system (log, list, engine, service, weights, cache, the users' platform) or a load of
// callers. SIGTERM and SIGINT stop it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "fakes of the outside systems, for tests and the demo",
		Commands: []*cli.Command{
			logCommand(), listCommand(), engineCommand(), serviceCommand(), weightsCommand(), cacheCommand(),
			loadCommand(), reportCommand(), platformStoreCommand(), platformEngineCommand(),
		},
	}
}

// address is the flag that every subcommand has.
func address() cli.Flag {
	return &cli.StringFlag{Name: "addr", Usage: "listen on `HOST:PORT`", Required: true}
}
