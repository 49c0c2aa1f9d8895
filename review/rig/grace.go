package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// graceBefore and graceAfter are the grace period, in seconds, before and after the settings change.
	graceBefore, graceAfter = 8, 20
	// longWork is how long the requests of this case run: less than the timeout of their route, and
	// far less than the grace period that is in force when the gateway is stopped.
	longWork = 8500 * time.Millisecond
	// besideWork and shortWork are how long other requests run.
	besideWork, shortWork = 150 * time.Millisecond, 15 * time.Millisecond
	// longLimit is the time limit of the long requests, and shortLimit that of all others.
	longLimit, shortLimit = 10 * time.Second, time.Second
	// longRequests is the number of clients, each with a request in progress when the gateway is stopped.
	longRequests = 8
	// reloadTime is the time from SIGHUP to the requests; a changed file is read every two seconds anyway.
	reloadTime = 5 * time.Second
	// stopDelay is the time from the requests to SIGTERM.
	stopDelay = 300 * time.Millisecond
	// graceFleet is the number of gateways of this case, of which the first one's settings change.
	graceFleet = 3
	// longPath begins the paths of the long requests.
	longPath = "/slow/"
)

// workOf is how long a request of that path runs.
func workOf(path string) time.Duration {
	switch {
	case strings.HasPrefix(path, longPath):
		return longWork
	case strings.HasPrefix(path, besidePath):
		return besideWork
	}
	return shortWork
}

// changedGrace lengthens the grace period in the settings of one of the gateways that run, sends SIGHUP, and
// stops this gateway with SIGTERM while requests are in progress that fit well into the new period.
// Without the disruption the gateway starts with the new period.
func changedGrace(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec, firstManifest(), 2)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	f.graceSeconds = graceAfter
	if trouble {
		f.graceSeconds = graceBefore
	}
	if err := f.startAll(graceFleet, f.storeURL, f.seeds(graceFleet)); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	f.graceSeconds = graceAfter
	if trouble {
		if err := f.changeSettings(f.gateways[0], 1); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(reloadTime)
	return f.stopWithLongRequests(f.gateways[0])
}

// stopWithLongRequests sends long requests on kept channels, stops the gateway as the platform does,
// and judges the answers.
func (f *fleet) stopWithLongRequests(g *gateway) (verdict, error) {
	var all sync.WaitGroup
	results := make([]result, longRequests)
	for i := range results {
		c, err := f.openChannel(1)
		if err != nil {
			return verdict{}, err
		}
		defer c.close()
		if first := c.exchange(request{method: http.MethodGet, path: "/read/first", key: lastingKey, limit: shortLimit}); !first.ok() {
			return verdict{}, fmt.Errorf("a request before the stop ended with %s", first)
		}
		all.Go(func() {
			results[i] = c.exchange(request{method: http.MethodGet, path: longPath + "a", key: lastingKey, limit: longLimit})
		})
	}
	time.Sleep(stopDelay)
	stoppedAt := time.Now()
	f.record.add("sigterm", "gateway", 1)
	if err := g.command.Process.Signal(syscall.SIGTERM); err != nil {
		return verdict{}, err
	}
	kill := time.AfterFunc(graceAfter*time.Second, func() {
		f.record.add("sigkill", "gateway", 1)
		_ = g.command.Process.Kill() // It may have ended.
	})
	defer kill.Stop()
	all.Wait()
	<-g.ended
	lost, ran := 0, 0
	for _, r := range results {
		if r.err != nil {
			lost++
		}
	}
	for _, w := range f.workers {
		ran += len(w.runsOf(longPath))
	}
	took := g.endedAt.Sub(stoppedAt).Round(10 * time.Millisecond)
	reason := fmt.Sprintf("%d of %d requests that a worker ran ended with their channel and without an answer; the gateway ended %s after SIGTERM, of %d s", lost, ran, took, graceAfter)
	return verdict{broken: lost > 0 && ran > 0, reason: reason}, nil
}
