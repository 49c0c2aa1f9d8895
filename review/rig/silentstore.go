package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// contactTime, applyTime and drainTime are the bounds of the rules for machines that are in touch again,
	// for a manifest and for a worker that leaves.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	drainTime   = 2 * time.Second
	// boundMargin is kept from these bounds, for the time that a request takes on its way.
	boundMargin = 150 * time.Millisecond
	// settleTime is how long a deployment runs before the disruption.
	settleTime = 5 * time.Second
	// leaveDelay is the time from the silence to the removal of the worker's entry.
	leaveDelay = 300 * time.Millisecond
	// askInterval is the interval between two requests of a client.
	askInterval = 25 * time.Millisecond
	// askTime is how long clients go on after the silence.
	askTime = 8 * time.Second
	// silentFleet is the number of gateways of this case.
	silentFleet = 3
)

// silentStore makes the open channels between the gateways and the store silent for good, while new
// ones work. Then a worker leaves without having reported that it drains.
func silentStore(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec, firstManifest(), 3)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	p, err := startProxy(f.ip(201), f.storeURL)
	if err != nil {
		return verdict{}, err
	}
	if err := f.startAll(silentFleet, p.address, f.seeds(silentFleet)); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	silentAt := time.Now()
	if trouble {
		rec.say("%d open channels to the store become silent", p.silence())
	}
	time.Sleep(leaveDelay)
	leftAt := f.store.remove(f.adapter.Source.EndpointCollection(), "i-2")
	rec.add("left", "worker", "i-2")
	if err := f.askAll(silentFleet, silentAt.Add(askTime)); err != nil {
		return verdict{}, err
	}
	// From bound on, the gateways are in touch again and have had the time to drain since the acknowledgement.
	bound := leftAt.Add(drainTime)
	if inTouchAt := silentAt.Add(contactTime); trouble && inTouchAt.After(bound) {
		bound = inTouchAt
	}
	late, last := 0, time.Duration(0)
	for _, r := range f.workers["i-2"].runsOf("/") {
		if r.at.After(bound.Add(boundMargin)) {
			late, last = late+1, r.at.Sub(leftAt)
		}
	}
	reason := fmt.Sprintf("%d requests reached the worker that had left, later than the bounds after the acknowledgement and after the silence began", late)
	if late > 0 {
		reason += fmt.Sprintf("; the last one %s after the acknowledgement", last.Round(10*time.Millisecond))
	}
	return verdict{broken: late > 0, reason: reason}, nil
}

// askAll sends requests to all gateways in turn until end. Each must be served: workers that leave
// go on serving.
func (f *fleet) askAll(gateways int, end time.Time) error {
	for number := 0; time.Now().Before(end); time.Sleep(askInterval) {
		number = number%gateways + 1
		r := f.sendOnce(number, request{method: http.MethodPost, path: "/push/a", key: lastingKey, limit: shortLimit})
		if !r.ok() {
			return fmt.Errorf("a request that any manifest allows ended with %s", r)
		}
	}
	return nil
}
