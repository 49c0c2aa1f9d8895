package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// beatInterval is the time between two entries that an endpoint writes.
	beatInterval = 1200 * time.Millisecond
	// headerTimeout limits the time to read a request's header.
	headerTimeout = 5 * time.Second
)

// plainPrefix begins the paths that are answered with a text in place of a stream.
const plainPrefix = "/map/"

// endpoint is a stand-in for a model worker. It answers each request with a stream of numbered events.
type endpoint struct {
	id, service, address string
	slots, events        int
	interval             time.Duration
	store                *store
	// crashes, if set, is called for each request that begins to run; the endpoint crashes under it if it
	// returns true, and is back after downFor.
	crashes func(e *endpoint, id, body string) bool
	downFor time.Duration
	// crashAfter is how long such a request runs before that, whether or not its channel is closed. If drops is
	// set, the request ends with its channel.
	crashAfter time.Duration
	drops      bool
	// onCrash, if set, is called at each crash.
	onCrash func(e *endpoint)
	// onRun, if set, is called for each request that begins to run, and onEnd when its run ends.
	onRun func(e *endpoint, id, body string)
	onEnd func(e *endpoint, id string, complete bool)
	// prefill is the time before the first event.
	prefill time.Duration

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	// conns are the open connections in the order in which they were accepted.
	conns []net.Conn
	born  time.Time
	beats int
	// running are the requests that run, and most is the most that ran at once. Those that ran at a crash
	// don't count any more.
	running map[*http.Request]bool
	most    int
}

// start listens, at the address of before if there was one, and registers the endpoint.
func (e *endpoint) start(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.address == "" {
		e.address = "127.0.0.1:0"
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.address)
	if err != nil {
		return err
	}
	e.address, e.born, e.running, e.conns = l.Addr().String(), time.Now(), map[*http.Request]bool{}, nil
	server := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout, ConnState: e.noteConn}
	e.server, e.listener = server, l
	go func() { _ = server.Serve(l) }()
	e.beat()
	return nil
}

// beat writes the entry; e.mu is held.
func (e *endpoint) beat() {
	e.beats++
	e.store.put(wire["endpoints"], e.id, []byte(fmt.Sprintf(wire["beat"], e.service, e.address, e.slots, e.beats, e.born.UnixMilli())))
}

// run writes the entry again and again while the endpoint is up.
func (e *endpoint) run(ctx context.Context) {
	for ticker := time.NewTicker(beatInterval); ; {
		select {
		case <-ctx.Done():
			ticker.Stop()
			return
		case <-ticker.C:
			e.mu.Lock()
			if e.server != nil {
				e.beat()
			}
			e.mu.Unlock()
		}
	}
}

// noteConn keeps the open connections.
func (e *endpoint) noteConn(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns = append(e.conns, conn)
	case http.StateClosed, http.StateHijacked:
		e.conns = slices.DeleteFunc(e.conns, func(c net.Conn) bool { return c == conn })
	default:
	}
}

// crash closes the listener and then the connections in the order of their descriptors, as the kernel does at
// the end of a process, and starts again later. born is the start of the process that crashes.
func (e *endpoint) crash(ctx context.Context, born time.Time) {
	e.mu.Lock()
	if e.server == nil || !e.born.Equal(born) {
		e.mu.Unlock()
		return // Another request has crashed it before.
	}
	server, listener, conns := e.server, e.listener, slices.Clone(e.conns)
	e.server, e.running = nil, map[*http.Request]bool{}
	e.mu.Unlock()
	if e.onCrash != nil {
		e.onCrash(e)
	}
	_ = listener.Close()
	for _, conn := range conns {
		_ = conn.Close()
	}
	_ = server.Close()
	time.AfterFunc(e.downFor, func() {
		for ctx.Err() == nil && e.start(ctx) != nil {
			time.Sleep(beatInterval / 10) // The address may not be free yet.
		}
	})
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(wire["instance"], e.id)
		return
	}
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if expected := r.Header.Get(names.Endpoint); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !e.enter(r) {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave(r)
	if e.onRun != nil {
		e.onRun(e, id, string(body))
	}
	if e.crashes != nil && e.crashes(e, id, string(body)) {
		born, began := e.bornAt(), time.Now()
		if stayed := pause(r.Context(), e.crashAfter); !stayed && e.drops {
			return
		}
		time.Sleep(time.Until(began.Add(e.crashAfter)))
		e.crash(context.Background(), born)
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, id)
}

// bornAt returns the start of the process that runs.
func (e *endpoint) bornAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.born
}

// enter takes a slot.
func (e *endpoint) enter(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= e.slots {
		return false
	}
	e.running[r] = true
	e.most = max(e.most, len(e.running))
	return true
}

func (e *endpoint) leave(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, r)
}

// load returns the requests that run now, and the most that ran at once.
func (e *endpoint) load() (running, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), e.most
}

// stream sends the events behind the last one that the caller has, unless the caller leaves.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, err := strconv.Atoi(r.Header.Get(names.LastEventID))
	if err != nil {
		last = 0
	}
	complete := false
	if e.onEnd != nil {
		defer func() { e.onEnd(e, id, complete) }()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(names.ResponseSignature, "seal."+id)
	if !pause(r.Context(), e.prefill) {
		return
	}
	if strings.HasPrefix(r.URL.Path, plainPrefix) {
		complete = true
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprintf(w, "%s ran %s\n", e.id, id)
		return
	}
	for n := last + 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 40)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if !pause(r.Context(), e.interval) {
			return
		}
	}
	complete = true
}

// pause waits for d, and reports whether the caller has stayed.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
