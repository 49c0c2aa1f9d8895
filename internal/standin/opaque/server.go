// Package opaque is a small stand-in for an endpoint behind a gateway: it echoes the
// request id, checks that it is the endpoint that was meant, and streams events.
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
	// streamSuffix ends the paths that are answered with events.
	streamSuffix = "/stream"
	// eventPause is the time between two events of a stream.
	eventPause = 200 * time.Millisecond
	// headerTimeout bounds the time in which a gateway sends a header.
	headerTimeout = 5 * time.Second
)

// Events is the number of events in a stream.
const Events = 5

// Endpoint is one stand-in.
type Endpoint struct {
	// ID is the endpoint's name; requests meant for another one are refused.
	ID string
	// Names are the header fields.
	Names headers.Names
	// OnRun is called with the request's id and workspace before a request runs, if set.
	OnRun func(id, workspace string)
}

// Serve answers until ctx ends.
func (e Endpoint) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (e Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(e.Names.RequestID, r.Header.Get(e.Names.RequestID))
	if meant := r.Header.Get(e.Names.Endpoint); meant != "" && meant != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id, workspace := r.Header.Get(e.Names.RequestID), r.Header.Get(e.Names.Workspace)
	if e.OnRun != nil {
		e.OnRun(id, workspace)
	}
	if strings.HasSuffix(r.URL.Path, streamSuffix) {
		e.stream(w, r, id)
		return
	}
	fmt.Fprintf(w, "%s ran %s %s for %s as %s\n", e.ID, r.Method, r.URL.Path, workspace, id)
}

// stream sends the events that follow the last one that the caller has.
func (e Endpoint) stream(w http.ResponseWriter, r *http.Request, request string) {
	last, err := strconv.Atoi(r.Header.Get(e.Names.LastEventID))
	if err != nil {
		last = 0 // A stream from its beginning.
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id <= Events; id++ {
		if _, err := io.WriteString(w, fmt.Sprintf("id: %d\ndata: event %d of %s as %s\n\n", id, id, e.ID, request)); err != nil {
			return // The caller left.
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}
