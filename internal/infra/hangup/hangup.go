// Package hangup keeps SIGHUP from ending a process that runs a router, from its first moment.
//
// The packages that a router needs take most of the time of its start to initialize, so that main would register the signal too late. This
// package imports little, and Go initializes it before nearly all of them.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Names of the commands that run a router.
const (
	ServeCommand    = "serve"
	PlatformCommand = "platform"
)

// init registers SIGHUP if the process runs a router. Routers read their settings after that; other commands end with their terminal.
func init() {
	if len(os.Args) > 1 && (os.Args[1] == ServeCommand || os.Args[1] == PlatformCommand) {
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	}
}
