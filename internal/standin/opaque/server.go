// Package opaque is a stand-in for an endpoint behind a gateway: it echoes the request
// id, refuses requests addressed to another endpoint, and streams events.
package opaque

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/primrosewell/primrosewell/internal/headers"
)

const (
	// streamSuffix marks the paths that respond with an event stream.
	streamSuffix = "/stream"
	// eventInterval is the time between two events of a stream.
	eventInterval = 200 * time.Millisecond
	// headerTimeout limits the time to read a request header.
	headerTimeout = 5 * time.Second
)

// EventCount is the number of events in a stream.
const EventCount = 5

// Endpoint is a stand-in endpoint, served over HTTP.
type Endpoint struct {
	// ID is the endpoint's name; requests addressed to another one get status 421.
	ID string
	// Version is the version of the endpoint's software; each event of a stream names it, unless it is empty.
	Version string
	// Names are the names of the HTTP header fields.
	Names headers.Names
	// OnRun, if set, is called with the request's id and workspace before a request runs.
	OnRun func(id, workspace string)
	// Disturb, if set, is called for each response and returns what goes wrong with it.
	Disturb func() Trouble
	// Conduct, if set, is called for each request that is addressed to the endpoint and returns how it responds.
	Conduct func(id string) Conduct
	// Crashes, if set, is called for each request that runs, and reports whether the endpoint crashes
	// under it. The caller of Serve ends the endpoint's connections; this one is closed.
	Crashes func(r *http.Request) bool
	// Room, if set, is called for each request and returns what a brittle endpoint has room for, or
	// nil. OnFall is called when it falls over; the caller of Serve ends its connections.
	Room   func() *Room
	OnFall func(rejected []Rejection)
	// OnRespond, if set, is called before each response to such a request that isn't broken off.
	OnRespond func(id string, c Conduct)
}

// Conduct is how an endpoint responds to a request; the zero value is an endpoint that serves.
type Conduct struct {
	// Leaving is set if the response says that the endpoint shuts down.
	Leaving bool
	// Limit, if positive, is the number of requests a second that the response names as the endpoint's limit.
	Limit float64
	// Refuse is set if the request doesn't run; the response has status 503 and RetryAfter, unless it is empty.
	Refuse     bool
	RetryAfter string
	// Fail is set if the request runs and fails with status 500.
	Fail bool
}

// Serve handles requests on listener until ctx ends, then returns nil.
func (e Endpoint) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: e, ReadHeaderTimeout: headerTimeout, ConnContext: withConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if late, ok := c.(*lateConn); ok && state == http.StateIdle {
				late.responseEnded()
			}
		},
	}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(lateListener{listener}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (e Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(e.Names.RequestID, r.Header.Get(e.Names.RequestID))
	if target := r.Header.Get(e.Names.Endpoint); target != "" && target != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id, workspace := r.Header.Get(e.Names.RequestID), r.Header.Get(e.Names.Workspace)
	conduct := e.begin(w, id)
	if conduct.Refuse {
		e.refuse(w, id, conduct)
		return
	}
	if e.Room != nil {
		if room := e.Room(); room != nil {
			if !e.enter(w, room, id) {
				return
			}
			defer room.Leave()
			defer workUntil(r.Context(), time.Now().Add(room.Work))
		}
	}
	if e.OnRun != nil {
		e.OnRun(id, workspace)
	}
	if e.Crashes != nil && e.Crashes(r) {
		panic(http.ErrAbortHandler)
	}
	isStream := strings.HasSuffix(r.URL.Path, streamSuffix)
	w = e.disturb(w, r, isStream)
	if _, broken := w.(*troubledWriter); !broken && e.OnRespond != nil {
		e.OnRespond(id, conduct)
	}
	if conduct.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if isStream {
		e.stream(w, r, id)
		return
	}
	body := fmt.Sprintf("%s ran %s %s for %s as %s\n", e.ID, r.Method, r.URL.Path, workspace, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// begin returns how the endpoint responds to the request and sets the fields that all its responses have.
func (e Endpoint) begin(w http.ResponseWriter, id string) (c Conduct) {
	if e.Conduct != nil {
		c = e.Conduct(id)
	}
	if c.Leaving {
		w.Header().Set(e.Names.Leaving, "1")
	}
	if c.Limit > 0 {
		w.Header().Set(e.Names.Limit, strconv.FormatFloat(c.Limit, 'f', -1, 64))
	}
	return c
}

// enter takes a slot of a brittle endpoint, or rejects the request.
func (e Endpoint) enter(w http.ResponseWriter, room *Room, id string) bool {
	w.Header().Set(e.Names.Brittle, strconv.Itoa(room.Rejections))
	entered, falls := room.Enter(time.Now(), id)
	if falls != nil {
		e.OnFall(falls)
		panic(http.ErrAbortHandler)
	}
	if !entered {
		e.refuse(w, id, Conduct{})
	}
	return entered
}

// workUntil keeps a slot taken until some time, or until the caller has left.
func workUntil(ctx context.Context, end time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(end)):
	}
}

// refuse responds that the request did not run.
func (e Endpoint) refuse(w http.ResponseWriter, id string, c Conduct) {
	w.Header().Set(e.Names.NotRun, "1")
	if c.RetryAfter != "" {
		w.Header().Set("Retry-After", c.RetryAfter)
	}
	if e.OnRespond != nil {
		e.OnRespond(id, c)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// disturb applies the trouble chosen for the response.
func (e Endpoint) disturb(w http.ResponseWriter, r *http.Request, isStream bool) http.ResponseWriter {
	if e.Disturb == nil {
		return w
	}
	t := e.Disturb()
	if t.Disturbance == Garble && !isStream {
		// Within a body of a declared length such bytes look like a part of the body.
		t.After = -1
	}
	t.Unframed = t.Unframed && isStream
	switch t.Disturbance {
	case BreakOff, Garble:
		return &troubledWriter{ResponseWriter: w, trouble: t}
	case Repeat, TrailGarbage:
		disturbAfter(r.Context(), t)
	case Undisturbed:
	}
	return w
}

// stream sends the events that follow the last event id in the request.
func (e Endpoint) stream(w http.ResponseWriter, r *http.Request, request string) {
	lastEventID, err := strconv.Atoi(r.Header.Get(e.Names.LastEventID))
	if err != nil {
		lastEventID = 0 // Without a valid id, the stream starts at its beginning.
	}
	w.Header().Set("Content-Type", "text/event-stream")
	name := strings.TrimSpace(e.ID + " " + e.Version)
	for id := lastEventID + 1; id <= EventCount; id++ {
		if _, err := io.WriteString(w, fmt.Sprintf("id: %d\ndata: event %d of %s as %s\n\n", id, id, name, request)); err != nil {
			return // The caller disconnected.
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}
