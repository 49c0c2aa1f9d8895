package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// poisonPath is the path of the request that crashes each worker that begins to run it.
	poisonPath = "/push/poison"
	// poisonInterval is the time after which the request comes again, at the next gateway. After a
	// refusal it comes when the refusal says, but at most longestDelay later: clients honour up to a
	// third of their time.
	poisonInterval = time.Second
	longestDelay   = shortLimit / 3
	// poisonTime is how long it comes.
	poisonTime = 40 * time.Second
	// crashedFor is how long a worker that crashed is down.
	crashedFor = 3 * time.Second
	// crashDelay is the time from the begin of the run to the crash.
	crashDelay = 5 * time.Millisecond
	// besidePath is the path of the requests of other clients, and besideClients the number of these.
	besidePath    = "/push/beside/"
	besideClients = 6
	// poisonFleet is the number of gateways of these cases.
	poisonFleet = 6
	// provenCrashes and allowedRetries are those of the rule.
	provenCrashes, allowedRetries = 3, 3
)

// twoWorkers sends a request that crashes workers to a service that has two of them: the third one is
// taken away before, as planned.
func twoWorkers(rec *record, trouble bool) (verdict, error) {
	f, err := newPoisonFleet(rec, 3, trouble)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	if err := f.startAll(poisonFleet, f.storeURL, f.seeds(poisonFleet)); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	f.takeAway("i-3")
	return f.playPoison(), nil
}

// staleSeeds starts gateways whose seeds are addresses at which no gateway runs, and sends them a
// request that crashes workers. Without the disruption the seeds are right.
func staleSeeds(rec *record, trouble bool) (verdict, error) {
	const workers = 6
	f, err := newPoisonFleet(rec, workers, true)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	seeds := f.seeds(poisonFleet)
	if trouble {
		seeds = []string{joinPort(f.ip(91), f.ports[4]), joinPort(f.ip(92), f.ports[4]), joinPort(f.ip(93), f.ports[4])}
	}
	rec.add("seeds", "of_all", strings.Join(seeds, ","))
	if err := f.startAll(poisonFleet, f.storeURL, seeds); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	return f.playPoison(), nil
}

// newPoisonFleet starts the store and that many workers, which crash under the poisoned request if
// crashes is set.
func newPoisonFleet(rec *record, workers int, crashes bool) (*fleet, error) {
	f, err := newFleet(rec, firstManifest(), workers)
	if err != nil {
		return nil, err
	}
	for _, w := range f.workers {
		w.crashes = func(path string) bool { return crashes && path == poisonPath }
	}
	return f, nil
}

// takeAway has a worker report that it drains, removes its entry later and ends the worker.
func (f *fleet) takeAway(id string) {
	collection := f.adapter.Source.EndpointCollection()
	f.store.put(collection, id, f.workers[id].entry(draining))
	f.record.add("draining", "worker", id)
	time.Sleep(drainTime + time.Second)
	f.store.remove(collection, id)
	f.record.add("left", "worker", id)
	time.Sleep(drainTime)
	f.workers[id].end()
	time.Sleep(settleTime)
}

// playPoison sends the poisoned request again and again, beside those of other clients, and judges
// how often it reached workers.
func (f *fleet) playPoison() verdict {
	var beside sync.WaitGroup
	var failed, sent atomic.Int64
	end := time.Now().Add(poisonTime)
	for client := range besideClients {
		beside.Go(func() {
			for time.Now().Before(end) {
				r := f.pushTo(client, fmt.Sprint(besidePath, sent.Add(1)))
				// Only 429 and 503 promise that a request has not run.
				if r.err != nil || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout {
					failed.Add(1)
				}
			}
		})
	}
	for number := 0; time.Now().Before(end); number++ {
		pause := poisonInterval
		if r := f.pushTo(number, poisonPath); r.status == http.StatusServiceUnavailable {
			pause = min(r.retryAfter, longestDelay)
		}
		time.Sleep(pause)
	}
	beside.Wait()
	v := f.judgePoison()
	v.reason += fmt.Sprintf("; %d requests of other clients, which may not be repeated, failed after they were accepted", failed.Load())
	return v
}

// pushTo sends one request that may not be repeated to one of the gateways.
func (f *fleet) pushTo(number int, path string) result {
	return f.sendOnce(number%poisonFleet+1, request{method: http.MethodPost, path: path, key: lastingKey, limit: shortLimit})
}

// judgePoison counts the runs of the poisoned request later than the bound of the rule.
func (f *fleet) judgePoison() verdict {
	var runs []run
	for _, w := range f.workers {
		runs = append(runs, w.runsOf(poisonPath)...)
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	crashes := slices.DeleteFunc(runs, func(r run) bool { return !r.crashed })
	late := 0
	if len(crashes) >= provenCrashes {
		bound := crashes[provenCrashes-1].at.Add(crashDelay + contactTime + boundMargin)
		for _, r := range crashes {
			if r.at.After(bound) {
				late++
			}
		}
	}
	reason := fmt.Sprintf("the request crashed workers %d times; it reached %d later than the bound of the rule after the third crash, of at most %d", len(crashes), late, allowedRetries)
	return verdict{broken: late > allowedRetries, reason: reason}
}
