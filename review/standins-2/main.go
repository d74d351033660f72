package main

import (
	"fmt"
	"os"
)

// cases are the plays by name. They return whether the rule was broken, or an error if they couldn't run.
var cases = map[string]func(rec *recorder, trouble bool) (bool, error){
	"drain":       drain,
	"chunks":      chunks,
	"descriptors": descriptors,
	"stop":        stop,
	"quota":       quota,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.sayf("not run: %v", err)
		os.Exit(2)
	case broken:
		rec.sayf("the rule was broken")
		os.Exit(1)
	}
	rec.sayf("the rule held")
}
