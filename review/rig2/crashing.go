package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// crashPlan is a scenario in which one request crashes each endpoint that begins to run it, and comes again and
// again at any gateway, beside others that run.
type crashPlan struct {
	gateways, endpoints int
	// others is the number of other requests that are in progress at once for each endpoint.
	others int
	// warmUp is how long the others run before the first crash, and length the time from then on.
	warmUp, length time.Duration
	// again is the time after which the request comes again, at the next gateway.
	again time.Duration
	// crashAfter is how long the request runs before the endpoint crashes.
	crashAfter time.Duration
	// leaveAfter is when the client of the request leaves; 0 means that it stays.
	leaveAfter time.Duration
	// drops is set if an endpoint drops the request when its channel closes, and doesn't crash then.
	drops bool
	// together is set if other clients of the caller send the request again before it is answered.
	together bool
	// killAt is the number of crashes at which all gateways are killed, and 0 if they aren't; they start again
	// after killDown.
	killAt int
}

// crashing is a plan with busy endpoints. For their first minute gateways need less evidence, so that the first
// crash comes after it.
var crashing = crashPlan{gateways: 2, endpoints: 8, others: 120, warmUp: 61 * time.Second, length: 48 * time.Second, again: 5500 * time.Millisecond}

// impatient is a plan in which the client of the request doesn't wait for its answer.
var impatient = crashPlan{
	gateways: 3, endpoints: 4, others: 10, warmUp: 5 * time.Second, length: 48 * time.Second, again: 4 * time.Second,
	crashAfter: 300 * time.Millisecond, leaveAfter: 200 * time.Millisecond,
}

// killed is a plan in which all gateways are killed at the third crash, before the block that follows from it is
// stored. For their first minute gateways block a request sooner, so that the first crash comes after it.
var killed = crashPlan{
	gateways: 6, endpoints: 6, others: 10, warmUp: 61 * time.Second, length: 30 * time.Second, again: time.Second,
	crashAfter: 8 * time.Second, drops: true, together: true, killAt: freeCrashes,
}

const (
	// killDown is the time after which killed gateways start again.
	killDown = 500 * time.Millisecond
	// crashSlots are those of a bulletin worker of the small deployment.
	crashSlots = 128
	// crashEvents and crashEventInterval make an answer as long as a long one of the small deployment.
	crashEvents, crashEventInterval = 45, 200 * time.Millisecond
	// crashDeadline is the time limit of all clients.
	crashDeadline = 10 * time.Second
	// crashDown is the time after which a crashed endpoint is back.
	crashDown = 2 * time.Second
	// contact and freeCrashes are the rule's: the retries count from contact after that many crashes on,
	// and maxRetries are allowed.
	contact                 = 3 * time.Second
	freeCrashes, maxRetries = 3, 3
	crashingBody            = "the prompt that crashes each worker"
)

// crashLog has the times at which the request reached an endpoint, and those of the crashes.
type crashLog struct {
	mu               sync.Mutex
	arrived, crashed []time.Time
	// started is when the gateways were ready again, if they were killed.
	started time.Time
}

// restarted notes that killed gateways are ready again. They are in touch contact later.
func (l *crashLog) restarted(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = now
}

// addCrash adds a crash, and returns the number of crashes.
func (l *crashLog) addCrash(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed = append(l.crashed, now)
	return len(l.crashed)
}

func (l *crashLog) add(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived = append(l.arrived, now)
	return len(l.arrived)
}

// counted returns the retries that the rule counts.
func (l *crashLog) counted() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashed) < freeCrashes {
		return 0
	}
	for _, at := range l.arrived {
		if at.Sub(l.crashed[freeCrashes-1]) > contact && at.Sub(l.started) > contact {
			n++
		}
	}
	return n
}

func playCrashing(ctx context.Context, e *environment) (broken bool, err error) {
	return crashing.play(ctx, e)
}

func playKilled(ctx context.Context, e *environment) (broken bool, err error) {
	return killed.play(ctx, e)
}

// playPatient is playImpatient with a client that stays, to compare.
func playPatient(ctx context.Context, e *environment) (broken bool, err error) {
	p := impatient
	p.leaveAfter = 0
	return p.play(ctx, e)
}

func playImpatient(ctx context.Context, e *environment) (broken bool, err error) {
	if !e.trouble {
		return playPatient(ctx, e) // The client's leaving is a disruption, too.
	}
	return impatient.play(ctx, e)
}

// play plays the scenario, and returns whether the rule was broken.
func (p crashPlan) play(ctx context.Context, e *environment) (broken bool, err error) {
	s := newStore()
	s.put("config", "main", []byte(manifest(3, []route{{
		name: "r-pilot", prefix: "/pilot/", kind: "streaming", service: "bulletin", timeoutMS: 10000, goalMS: 250, attempts: 1, sticky: true,
	}}, []service{{"bulletin", 610}})))
	storeURL, err := serve(ctx, s)
	if err != nil {
		return false, err
	}
	var log crashLog
	kill := make(chan struct{})
	var endpoints []*endpoint
	for i := range p.endpoints {
		x := &endpoint{
			id: fmt.Sprintf("i-%02d", i+1), service: "bulletin", slots: crashSlots, events: crashEvents, interval: crashEventInterval, store: s, downFor: crashDown, crashAfter: p.crashAfter, drops: p.drops,
		}
		x.crashes = func(x *endpoint, id, body string) bool {
			if body != crashingBody {
				return false
			}
			running, _ := x.load()
			e.record.printf("%s begins to run the crashing request as %s: arrival %d; %d requests run there", x.id, id, log.add(time.Now()), running)
			return e.trouble
		}
		x.onCrash = func(x *endpoint) {
			n := log.addCrash(time.Now())
			e.record.printf("%s crashes: crash %d", x.id, n)
			if n == p.killAt {
				close(kill)
			}
		}
		if err := x.start(ctx); err != nil {
			return false, err
		}
		go x.run(ctx)
		endpoints = append(endpoints, x)
	}
	f, err := e.newFleet(storeURL, p.gateways, 52)
	if err != nil {
		return false, err
	}
	go f.restartAll(ctx, e.record, kill, log.restarted)
	if err := f.startAll(ctx); err != nil {
		return false, err
	}
	c := newCaller()
	for i := range p.endpoints * p.others {
		go sendOthers(ctx, c, f.gateways, i)
	}
	time.Sleep(p.warmUp)
	p.sendCrashing(ctx, e, c, f, &log)
	for _, x := range endpoints {
		_, most := x.load()
		e.record.printf("%s ran %d requests at once at most", x.id, most)
	}
	for _, line := range f.logLines("event=content") {
		e.record.printf("%s", line)
	}
	e.record.printf("the crashing request reached endpoints %d times, %d of them later than %s after the third crash; %d are allowed", len(log.arrived), log.counted(), contact, maxRetries)
	return log.counted() > maxRetries, nil
}

// sendCrashing sends the request that crashes endpoints again and again, at each gateway in turn.
func (p crashPlan) sendCrashing(ctx context.Context, e *environment, c *caller, f *fleet, log *crashLog) {
	end := time.Now().Add(p.length)
	if !e.trouble {
		end = end.Add(-crashEvents * crashEventInterval) // The last answer is read to its end.
	}
	for n := 0; time.Now().Before(end) && log.counted() <= maxRetries; {
		g := f.gateways[n%len(f.gateways)]
		again := time.Now().Add(p.again)
		n++
		if p.together {
			go p.sendOnce(ctx, e, c, g)
		} else if a := p.sendOnce(ctx, e, c, g); a.status == http.StatusServiceUnavailable {
			again = time.Now().Add(a.wait(crashDeadline)) // It promises that the request has not run.
		}
		time.Sleep(time.Until(again))
	}
}

// sendOnce sends the request that crashes endpoints, and waits for the answer.
func (p crashPlan) sendOnce(ctx context.Context, e *environment, c *caller, g *gateway) answer {
	r := request{id: newID(), path: "/pilot/", body: crashingBody, deadline: crashDeadline, fields: promptFields("c0ffee")}
	e.record.printf("the crashing request is sent to %s as %s", g.name, r.id)
	a := p.ask(ctx, c, g, r)
	e.record.printf("%s is answered %d, complete %t, %v", r.id, a.status, a.complete, a.err)
	return a
}

// ask sends the request, and leaves if the plan says so.
func (p crashPlan) ask(ctx context.Context, c *caller, g *gateway, r request) answer {
	if p.leaveAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.leaveAfter)
		defer cancel()
	}
	return c.send(ctx, g, r)
}

// promptFields are those that describe a prompt of one part, which no other request has.
func promptFields(part string) map[string]string {
	return map[string]string{names.PromptSize: "1460,180", names.PromptParts: part + ":1460"}
}

// sendOthers sends requests with prompts of their own, one after the other, at one gateway; after a failure it
// goes on at the next one.
func sendOthers(ctx context.Context, c *caller, gateways []*gateway, number int) {
	at := number
	for n := 0; ctx.Err() == nil; n++ {
		g := gateways[at%len(gateways)]
		part := fmt.Sprintf("%x", number*100000+n)
		a := c.send(ctx, g, request{id: newID(), path: "/pilot/", body: "a question with the number " + part, deadline: crashDeadline, fields: promptFields(part)})
		if !a.complete || a.status != http.StatusOK {
			at++
			time.Sleep(a.wait(crashDeadline))
		}
	}
}

// serve serves a stand-in on a free loopback port until ctx ends.
func serve(ctx context.Context, handler http.Handler) (url string, err error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}
