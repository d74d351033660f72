// Command quetzalmount runs the router and provides the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"quetzalmount.dev/quetzalmount/internal/cli/verbs"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := verbs.Main(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
