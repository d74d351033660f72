// Command rig runs one case of the review: routers and engines as processes, with stand-ins of the store and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit limits a case.
const timeLimit = 100 * time.Second

// errBroken means that a rule was broken.
var errBroken = errors.New("rule broken")

// cases maps the name of a case to its function; trouble is false if the disruption is left out.
var cases = map[string]func(f *fleet, trouble bool) error{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		if err := runEngine(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		return 0
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIR")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{began: time.Now(), file: file}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	go func() {
		// Ends all processes if the case hangs or the rig is stopped.
		stopped := make(chan os.Signal, 1)
		signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stopped:
		case <-time.After(timeLimit):
		}
		rec.add("RESULT: could not run: stopped")
		f.close()
		os.Exit(2)
	}()
	err = cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		rec.add("RESULT: %v", err)
		fmt.Println(err)
		return 1
	case err != nil:
		rec.add("RESULT: could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	rec.add("RESULT: the rule held")
	fmt.Println("the rule held")
	return 0
}
