package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

const (
	// scenarioTimeout ends a scenario that hangs.
	scenarioTimeout = 115 * time.Second
	// grace is that of the small deployment.
	grace = 8 * time.Second
)

// environment is what a scenario is given.
type environment struct {
	// trouble is false if the scenario is to be played without its disruption.
	trouble bool
	// dir is a temporary folder.
	dir    string
	record *record

	mu     sync.Mutex
	fleets []*fleet
}

// newFleet is newFleet for gateways that end with the scenario.
func (e *environment) newFleet(storeURL string, n int, slack float64) (*fleet, error) {
	f, err := newFleet(e.dir, storeURL, n, grace, slack)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleets = append(e.fleets, f)
	return f, nil
}

// killAll ends all processes that were started.
func (e *environment) killAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.fleets {
		f.killAll()
	}
}

// scenarios are the plays, by name. Each returns whether the rule was broken.
var scenarios = map[string]func(context.Context, *environment) (bool, error){
	"crashing":  playCrashing,
	"impatient": playImpatient,
	"killed":    playKilled,
	"patient":   playPatient,
	"leaving":   playLeaving,
}

func main() { os.Exit(run()) }

func run() int {
	trouble := flag.Bool("trouble", true, "false plays the scenario without its disruptions")
	flag.Parse()
	if flag.NArg() != 2 || scenarios[flag.Arg(0)] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 [-trouble=false] SCENARIO RECORD")
		return exitNotRun
	}
	signals, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	ctx, cancel := context.WithTimeout(signals, scenarioTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := newRecord(flag.Arg(1))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e := &environment{trouble: *trouble, dir: dir, record: r}
	defer e.killAll()
	stop := context.AfterFunc(ctx, func() {
		r.printf("the scenario was ended: %v", context.Cause(ctx))
		e.killAll()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotRun)
	})
	defer stop()
	broken, err := scenarios[flag.Arg(0)](ctx, e)
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
