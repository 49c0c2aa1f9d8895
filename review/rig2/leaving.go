package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// The scenario "leaving": some clients leave before their time limit, and all pipeline their requests: they
// send the second one on a channel before they have the answer to the first. All requests are GETs of a route
// whose requests may be repeated, which a client may pipeline.
const (
	leaveGateways, leaveEndpoints = 2, 3
	// leaveSlots are those of a receiver worker of the small deployment.
	leaveSlots = 6
	// leaveWork is how long a request runs, and leaveDeadline its time limit.
	leaveWork, leaveDeadline = 1200 * time.Millisecond, 3 * time.Second
	// leaveClients is the number of clients, and leavers that of those who leave: the pages allow 0.3 of them.
	leaveClients, leavers = 12, 3
	// leaveAfter is when a client leaves.
	leaveAfter = 300 * time.Millisecond
	// leaveTurn is the time from one channel of a client that leaves to its next, and leaveLength how long
	// clients leave.
	leaveTurn, leaveLength = 1100 * time.Millisecond, 5500 * time.Millisecond
	// leaveRest is the time until what was begun has ended.
	leaveRest = 6 * time.Second
	// goneAfter is the rule's half a second, and goneShare the share of runs that may go on later.
	goneAfter = 500 * time.Millisecond
	goneShare = 0.25
	// goneFew bounds the requests that may still reach an endpoint later than that.
	goneFew = 3
)

// visit is what is known of one request of a client that leaves.
type visit struct {
	left, arrived, ended time.Time
}

// visits are those of all requests, by id.
type visits struct {
	mu   sync.Mutex
	byID map[string]*visit
}

func (v *visits) note(id string, set func(*visit)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byID == nil {
		v.byID = map[string]*visit{}
	}
	if v.byID[id] == nil {
		v.byID[id] = &visit{}
	}
	set(v.byID[id])
}

// judge returns the requests that ran when their clients left and would have lasted longer, those of them
// at which an endpoint was still at work goneAfter later, and the requests that reached an endpoint later.
func (v *visits) judge() (running, atWork, late int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, x := range v.byID {
		limit := x.left.Add(goneAfter)
		switch {
		case x.left.IsZero() || x.arrived.IsZero():
		case x.arrived.After(limit):
			late++
		case x.arrived.Add(leaveWork).After(limit):
			running++
			if x.ended.IsZero() || x.ended.After(limit) {
				atWork++
			}
		}
	}
	return running, atWork, late
}

// playLeaving plays the scenario. The clients send one request at a time first, to compare.
func playLeaving(ctx context.Context, e *environment) (broken bool, err error) {
	s := newStore()
	s.put("config", "main", []byte(manifest(3, []route{{
		name: "r-map", prefix: plainPrefix, kind: "idempotent", service: "receiver", timeoutMS: int(leaveDeadline.Milliseconds()), goalMS: 300, attempts: 2,
	}}, []service{{"receiver", 96}})))
	storeURL, err := serve(ctx, s)
	if err != nil {
		return false, err
	}
	var seen visits
	for i := range leaveEndpoints {
		x := &endpoint{
			id: fmt.Sprintf("i-%02d", i+1), service: "receiver", slots: leaveSlots, prefill: leaveWork, store: s,
		}
		x.onRun = func(x *endpoint, id, _ string) {
			seen.note(id, func(v *visit) { v.arrived = time.Now() })
			e.record.printf("%s begins to run %s", x.id, id)
		}
		x.onEnd = func(x *endpoint, id string, complete bool) {
			seen.note(id, func(v *visit) { v.ended = time.Now() })
			e.record.printf("%s ends the run of %s, complete %t", x.id, id, complete)
		}
		if err := x.start(ctx); err != nil {
			return false, err
		}
		go x.run(ctx)
	}
	f, err := e.newFleet(storeURL, leaveGateways, 52)
	if err != nil {
		return false, err
	}
	if err := f.startAll(ctx); err != nil {
		return false, err
	}
	for _, requests := range []int{1, 2} {
		e.record.printf("clients send %d at a time", requests)
		visitAll(ctx, e, f, &seen, requests)
		running, atWork, late := seen.judge()
		e.record.printf("so far %d requests ran when their clients left and would have lasted longer; endpoints were still at work on %d of them %s later, %d of which are allowed; %d requests reached an endpoint later than that", running, atWork, goneAfter, int(goneShare*float64(running)), late)
		broken = float64(atWork) > goneShare*float64(running) || late > goneFew
	}
	return broken, nil
}

// visitAll lets all clients open channels for leaveLength.
func visitAll(ctx context.Context, e *environment, f *fleet, seen *visits, requests int) {
	end := time.Now().Add(leaveLength)
	var clients sync.WaitGroup
	for i := range leaveClients {
		leaves := e.trouble && i < leavers
		clients.Go(func() {
			for time.Now().Before(end) {
				again := time.Now().Add(leaveTurn)
				if err := visitOnce(ctx, e, f.gateways[i%len(f.gateways)], seen, requests, leaves); err != nil {
					e.record.printf("a client had no answer: %v", err)
				}
				time.Sleep(time.Until(again))
			}
		})
	}
	clients.Wait()
	time.Sleep(leaveRest)
}

// visitOnce opens a channel, sends requests on it, and reads the answers or leaves: it closes the channel.
func visitOnce(ctx context.Context, e *environment, g *gateway, seen *visits, requests int, leaves bool) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", g.front)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	var ids []string
	var text strings.Builder
	for range requests {
		id := newID()
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET %stile HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n\r\n", plainPrefix, host,
			names.RequestID, id, names.Deadline, leaveDeadline.Milliseconds(), names.APIKey, apiKey)
	}
	sent := strings.Join(ids, " and ")
	e.record.printf("a client sends %s to %s", sent, g.name)
	if _, err := conn.Write([]byte(text.String())); err != nil {
		return err
	}
	if !leaves {
		_ = conn.SetReadDeadline(time.Now().Add(time.Duration(requests) * leaveDeadline))
		statuses, err := readAnswers(conn, len(ids))
		e.record.printf("the client of %s is answered %v", sent, statuses)
		return err
	}
	time.Sleep(leaveAfter)
	for _, id := range ids {
		seen.note(id, func(v *visit) { v.left = time.Now() })
	}
	e.record.printf("the client of %s closes its channel", sent)
	return nil
}
