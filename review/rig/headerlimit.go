package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// smallHeader and largeHeader are the limit for headers, in bytes, before and after the manifest changes.
	smallHeader, largeHeader = 8192, 16384
	// padding is the size of the field that makes a header longer than smallHeader; the whole header
	// stays far below largeHeader.
	padding = 10000
	// keptChannels is the number of channels that clients keep open across the change.
	keptChannels = 20
	// deniedFloor and deniedShare are the bound of the rule: 5, and one in 500 of all requests.
	deniedFloor, deniedShare = 5, 500
)

// longHeader is a request whose header is longer than smallHeader.
func longHeader() request {
	return request{method: http.MethodPost, path: "/push/long", key: lastingKey, limit: shortLimit, padding: padding}
}

// raisedHeaderLimit raises the limit for headers in a new manifest, while clients keep their channels.
// Without the disruption the first manifest has the new limit.
func raisedHeaderLimit(rec *record, trouble bool) (verdict, error) {
	m := firstManifest()
	if trouble {
		m.headerBytes = smallHeader
	}
	f, err := newFleet(rec, m, 2)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	if err := f.startAll(1, f.storeURL, f.seeds(1)); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	channels, err := f.keepChannels()
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		m.version, m.headerBytes = 2, largeHeader
		if _, err := f.putManifest(m); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(applyTime + time.Second)
	// A new channel shows that the manifest is in force.
	if fresh := f.sendOnce(1, longHeader()); !fresh.ok() {
		return verdict{}, fmt.Errorf("the request on a new channel ended with %s", fresh)
	}
	denied, served := 0, 0
	for _, c := range channels {
		r := c.exchange(longHeader())
		c.close()
		if r.ok() {
			served++
		}
		if r.denied() {
			denied++
		}
	}
	sent := 2*len(channels) + 1
	reason := fmt.Sprintf("%d of %d requests on kept channels were denied and %d served; the same request on a new channel was served; %d requests in all", denied, len(channels), served, sent)
	return verdict{broken: float64(denied) > deniedFloor+float64(sent)/deniedShare, reason: reason}, nil
}

// denied reports whether the gateway ended the request with a 3xx or 4xx of its own that the rule counts.
func (r result) denied() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return !r.signed && r.status >= http.StatusMultipleChoices && r.status < http.StatusInternalServerError
}

// keepChannels opens channels and sends a first request on each.
func (f *fleet) keepChannels() (channels []*channel, err error) {
	for range keptChannels {
		c, err := f.openChannel(1)
		if err != nil {
			return nil, err
		}
		channels = append(channels, c)
		if first := c.exchange(request{method: http.MethodPost, path: "/push/first", key: lastingKey, limit: shortLimit}); !first.ok() {
			return nil, fmt.Errorf("a request before the change ended with %s", first)
		}
	}
	return channels, nil
}
