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
	// events and eventPause shape a stream.
	events     = 5
	eventPause = 200 * time.Millisecond
	// headerTimeout bounds the time in which a gateway sends a header.
	headerTimeout = 5 * time.Second
)

// Endpoint is one stand-in.
type Endpoint struct {
	// ID is the endpoint's name; requests meant for another one are refused.
	ID string
	// Names are the header fields.
	Names headers.Names
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
	if strings.HasSuffix(r.URL.Path, streamSuffix) {
		e.stream(w, r)
		return
	}
	fmt.Fprintf(w, "%s ran %s %s for %s\n", e.ID, r.Method, r.URL.Path, r.Header.Get(e.Names.Workspace))
}

// stream sends the events that follow the last one that the caller has.
func (e Endpoint) stream(w http.ResponseWriter, r *http.Request) {
	last, err := strconv.Atoi(r.Header.Get(e.Names.LastEventID))
	if err != nil {
		last = 0 // A stream from its beginning.
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id <= events; id++ {
		if _, err := io.WriteString(w, fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", id, id, e.ID)); err != nil {
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
