package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// longPoisonPath is the path of a request that crashes its worker only after longCrashDelay.
	longPoisonPath = longPath + "poison"
	longCrashDelay = 4500 * time.Millisecond
	// longPoisonInterval is the interval at which it comes, whether the one before is answered or not.
	longPoisonInterval = 200 * time.Millisecond
	// longPoisonTime is how long it comes.
	longPoisonTime = 30 * time.Second
	// longPoisonWorkers is the number of workers.
	longPoisonWorkers = 6
	// restartDelay is the time from the kill of all gateways to their start.
	restartDelay = time.Second
	// crashPoll is the interval at which the crashes are counted.
	crashPoll = 10 * time.Millisecond
)

// killedAtCrash sends a request that runs for some seconds and then crashes its worker, and kills all
// gateways at the third crash.
func killedAtCrash(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec, firstManifest(), longPoisonWorkers)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	for _, w := range f.workers {
		w.crashes = func(path string) bool { return path == longPoisonPath }
		w.crashAfter = longCrashDelay
	}
	if err := f.startAll(poisonFleet, f.storeURL, f.seeds(poisonFleet)); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	var all sync.WaitGroup
	end := time.Now().Add(longPoisonTime)
	all.Go(func() {
		for number := 0; time.Now().Before(end); number++ {
			all.Go(func() {
				f.sendOnce(number%poisonFleet+1, request{method: http.MethodGet, path: longPoisonPath, key: lastingKey, limit: longLimit})
			})
			time.Sleep(longPoisonInterval)
		}
	})
	third := f.awaitThirdCrash(end)
	startedAt := third
	if trouble {
		if startedAt, err = f.restartAll(); err != nil {
			return verdict{}, err
		}
	}
	all.Wait()
	return f.judgeLongPoison(third, startedAt), nil
}

// awaitThirdCrash returns the time of the third crash.
func (f *fleet) awaitThirdCrash(end time.Time) time.Time {
	for ; time.Now().Before(end); time.Sleep(crashPoll) {
		var crashes []time.Time
		for _, w := range f.workers {
			crashes = append(crashes, w.crashTimes()...)
		}
		if len(crashes) >= provenCrashes {
			slices.SortFunc(crashes, time.Time.Compare)
			return crashes[provenCrashes-1]
		}
	}
	return end
}

// restartAll kills all gateways at once and starts them again.
func (f *fleet) restartAll() (startedAt time.Time, err error) {
	killed := f.gateways
	for _, g := range killed {
		_ = g.command.Process.Kill() // It may have ended.
	}
	f.record.add("kill", "gateways", len(killed))
	time.Sleep(restartDelay)
	err = f.startAll(poisonFleet, f.storeURL, f.seeds(poisonFleet))
	return time.Now(), err
}

// judgeLongPoison counts the runs that began later than the bound of the rule, at gateways that were in
// touch again.
func (f *fleet) judgeLongPoison(third, startedAt time.Time) verdict {
	bound := third.Add(contactTime + boundMargin)
	if inTouchAt := startedAt.Add(contactTime + boundMargin); inTouchAt.After(bound) {
		bound = inTouchAt
	}
	late, crashes := 0, 0
	for _, w := range f.workers {
		crashes += len(w.crashTimes())
		for _, r := range w.runsOf(longPoisonPath) {
			if r.at.After(bound) {
				late++
			}
		}
	}
	reason := fmt.Sprintf("workers crashed %d times; the request reached %d later than the bound of the rule after the third crash, of at most %d", crashes, late, allowedRetries)
	return verdict{broken: late > allowedRetries, reason: reason}
}
