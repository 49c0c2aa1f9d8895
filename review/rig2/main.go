package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// scenarioTimeout ends a scenario that hangs.
const scenarioTimeout = 115 * time.Second

// environment is what a scenario is given.
type environment struct {
	// trouble is false if the scenario is to be played without its disruption.
	trouble bool
	// dir is a temporary folder.
	dir    string
	record *record
}

// scenarios are the plays, by name. Each returns whether the rule was broken.
var scenarios = map[string]func(context.Context, *environment) (bool, error){
	"crashing": playCrashing,
	"leaving":  playLeaving,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 SCENARIO RECORD")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e := &environment{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: r}
	broken, err := scenarios[os.Args[1]](ctx, e)
	switch {
	case err != nil:
		r.printf("the scenario could not be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		r.printf("the rule is broken")
		return exitBroken
	}
	r.printf("the rule holds")
	return exitHeld
}
