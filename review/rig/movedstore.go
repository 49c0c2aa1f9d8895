package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// revokedTime is how long a key that was taken away is tried.
	revokedTime = 6 * time.Second
	// revokedInterval is the interval between two such requests.
	revokedInterval = 100 * time.Millisecond
)

// movedStore changes the address of the store in the settings of a gateway that runs and sends SIGHUP.
// Both addresses lead to the same store; the old one is given up some seconds later. Then an API key
// is taken away. Without the disruption the gateway starts with the new address.
func movedStore(rec *record, trouble bool) (verdict, error) {
	m := firstManifest()
	f, err := newFleet(rec, m, 2)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	former, err := startProxy(f.ip(201), f.storeURL)
	if err != nil {
		return verdict{}, err
	}
	address := f.storeURL
	if trouble {
		address = former.address
	}
	if err := f.startAll(1, address, f.seeds(1)); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	if trouble {
		if err := f.changeSettings(f.gateways[0], 1); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(reloadTime)
	former.stop()
	rec.add("given_up", "address", former.address)
	time.Sleep(contactTime + time.Second)
	m.version, m.keys = 2, []string{lastingKey}
	changedAt, err := f.putManifest(m)
	if err != nil {
		return verdict{}, err
	}
	return f.tryRevokedKey(changedAt.Add(applyTime + boundMargin))
}

// tryRevokedKey sends requests with the key that was taken away, and counts those later than the bound
// that ran.
func (f *fleet) tryRevokedKey(bound time.Time) (verdict, error) {
	ran, sent := 0, 0
	for end := bound.Add(revokedTime); time.Now().Before(end); time.Sleep(revokedInterval) {
		r := f.sendOnce(1, request{method: http.MethodPost, path: "/push/a", key: revokedKey, limit: shortLimit})
		if r.sentAt.After(bound) {
			sent++
			if r.ok() {
				ran++
			}
		}
	}
	reason := fmt.Sprintf("%d of %d requests ran with the key that was taken away, sent later than the bound after the acknowledgement", ran, sent)
	return verdict{broken: ran > 0, reason: reason}, nil
}
