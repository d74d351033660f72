// Command standin runs a fake of one external system (log service, instance list, engine, plain service, weight store, cache store, or the
// users' platform) or a load generator. It stops on SIGTERM and SIGINT.
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

// addrFlag returns the flag for the listen address, which every server subcommand has.
func addrFlag() cli.Flag {
	return &cli.StringFlag{Name: "addr", Usage: "listen on `HOST:PORT`", Required: true}
}
