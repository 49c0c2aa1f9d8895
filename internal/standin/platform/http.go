package platformstandin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

// maxBodyBytes limits a request body: the largest object in base64, plus 64 KiB for the JSON around it.
const maxBodyBytes = platform.MaxObjectBytes*4/3 + 64<<10

// reasonUnauthenticated is the status reason for a client without a valid token.
const reasonUnauthenticated = "unauthenticated"

// Handler returns the HTTP handler of the object API, the control API and the calls of duties.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	const itemPath = wire.BasePath + "/{collection}/{name}"
	mux.HandleFunc("GET "+wire.VMsPath, s.serveVMs)
	mux.HandleFunc("GET "+itemPath, s.serveGet)
	mux.HandleFunc("POST "+itemPath, s.serveWrite(platform.Store.Create))
	mux.HandleFunc("PUT "+itemPath, s.serveWrite(platform.Store.Update))
	mux.HandleFunc("DELETE "+itemPath, s.serveDelete)
	mux.HandleFunc("GET "+wire.BasePath+"/{collection}", s.serveCollection)
	s.addControlRoutes(mux)
	outer := http.NewServeMux()
	outer.Handle("/", s.authenticate(mux))
	outer.HandleFunc("POST "+wire.UsagePath, s.serveDuty)
	outer.HandleFunc("POST "+wire.OrdersPath, s.serveDuty)
	return outer
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	want := []byte("Bearer " + s.options.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if s.options.Token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			writeJSON(w, http.StatusUnauthorized, wire.Status{Reason: reasonUnauthenticated})
			return
		}
		w.Header().Set(wire.EraHeader, strconv.FormatInt(s.history.currentEra(), 10))
		next.ServeHTTP(w, r)
	})
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Store().Get(r.Context(), r.PathValue("collection"), r.PathValue("name"))
	writeResponse(w, wire.Object(o), err)
}

func (s *Server) serveWrite(write func(platform.Store, context.Context, platform.Object) (platform.Object, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o wire.Object
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
			writeJSON(w, http.StatusBadRequest, wire.Status{Reason: string(platform.Invalid), Message: err.Error()})
			return
		}
		o.Collection, o.Name = r.PathValue("collection"), r.PathValue("name")
		out, err := write(s.Store(), r.Context(), platform.Object(o))
		out.Data = nil
		writeResponse(w, wire.Object(out), err)
	}
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get(wire.VersionParam), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Status{Reason: string(platform.Invalid), Message: err.Error()})
		return
	}
	err = s.Store().Delete(r.Context(), r.PathValue("collection"), r.PathValue("name"), version)
	writeResponse(w, struct{}{}, err)
}

func (s *Server) serveCollection(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get(wire.WatchParam) == "true" {
		s.serveWatch(w, r)
		return
	}
	list, err := s.Store().List(r.Context(), r.PathValue("collection"), query.Get(wire.PrefixParam))
	items := lo.Map(list.Items, func(o platform.Object, _ int) wire.Object { return wire.Object(o) })
	writeResponse(w, wire.List{Version: list.Version, Items: items}, err)
}

func (s *Server) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.Store().VMs(r.Context())
	writeResponse(w, vms, err)
}

// serveWatch streams changes as JSON lines, and sends a bookmark after each BookmarkInterval without a change.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get(wire.VersionParam), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Status{Reason: string(platform.Invalid), Message: err.Error()})
		return
	}
	watcher, err := s.Store().Watch(r.Context(), r.PathValue("collection"), version)
	if err != nil {
		writeResponse(w, struct{}{}, err)
		return
	}
	defer watcher.Close()
	stream := &lineWriter{encoder: json.NewEncoder(w), flush: http.NewResponseController(w).Flush}
	stream.send(wire.Line{Type: wire.LineBookmark, Object: &wire.Object{Version: version}})
	for stream.err == nil && s.serveLine(r.Context(), stream, watcher) {
	}
}

// serveLine sends the next line of a watch, or none when the bookmark is due while the platform hangs.
// It returns false when the watch has ended.
func (s *Server) serveLine(ctx context.Context, stream *lineWriter, watcher platform.Watch) bool {
	waitCtx, cancel := context.WithTimeout(ctx, s.options.BookmarkInterval)
	defer cancel()
	event, err := watcher.Next(waitCtx)
	if err == nil {
		o := wire.Object(event.Object)
		stream.send(wire.Line{Type: wire.LineType(event.Type), Object: &o})
		return true
	}
	if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		if s.faults.hangChannel() != nil {
			return true
		}
		stream.send(wire.Line{Type: wire.LineBookmark, Object: &wire.Object{Version: watcher.(*watch).lastVersion}})
		return true
	}
	if platform.ReasonOf(err) == platform.TooOld {
		stream.send(wire.Line{Type: wire.LineError, Error: &wire.Status{Reason: string(platform.TooOld)}})
	}
	return false
}

// lineWriter writes JSON lines and flushes each one. It keeps the last error.
type lineWriter struct {
	encoder *json.Encoder
	flush   func() error
	err     error
}

func (l *lineWriter) send(line wire.Line) {
	if l.err = l.encoder.Encode(line); l.err == nil {
		l.err = l.flush()
	}
}

// writeResponse writes body, or the status of err if it is not nil. A write of uncertain
// outcome gets no response: its connection is closed.
func writeResponse(w http.ResponseWriter, body any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, body)
		return
	}
	var e *platform.Error
	if !errors.As(err, &e) || e.Reason == platform.Uncertain {
		panic(http.ErrAbortHandler)
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	writeJSON(w, httpStatus(e.Reason), wire.Status{
		Reason:       string(e.Reason),
		Message:      e.Error(),
		RetryAfterMS: int64(math.Ceil(float64(e.RetryAfter) / float64(time.Millisecond))),
	})
}

func httpStatus(reason platform.Reason) int {
	switch reason {
	case platform.NotFound:
		return http.StatusNotFound
	case platform.Exists, platform.Conflict:
		return http.StatusConflict
	case platform.TooOld:
		return http.StatusGone
	case platform.RateLimited:
		return http.StatusTooManyRequests
	case platform.Invalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
