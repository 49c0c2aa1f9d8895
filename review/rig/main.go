// Command rig plays one case of the review: it starts the gateways of the deploy file as
// processes on loopback, before stand-ins of the store, of workers and of clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// verdict is the outcome of a case that could run.
type verdict struct {
	broken bool
	reason string
}

// cases are the cases by name. Each returns an error if it could not run; trouble is false for a
// run without the disruption.
var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"changed-grace":       changedGrace,
	"killed-at-crash":     killedAtCrash,
	"moved-store":         movedStore,
	"raised-header-limit": raisedHeaderLimit,
	"silent-store":        silentStore,
	"stale-seeds":         staleSeeds,
	"two-workers":         twoWorkers,
}

func main() {
	dir := flag.String("dir", ".", "`folder` for record.txt")
	flag.Parse()
	play, known := cases[flag.Arg(0)]
	if !known {
		fmt.Fprintln(os.Stderr, "usage: rig [-dir FOLDER] CASE")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(*dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxDuration, func() {
		rec.say("the case took too long")
		os.Exit(exitNotRun)
	})
	v, err := play(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		os.Exit(exitNotRun)
	case v.broken:
		rec.say("the rule was broken: %s", v.reason)
		os.Exit(exitBroken)
	}
	rec.say("the rule held: %s", v.reason)
	os.Exit(exitHeld)
}
