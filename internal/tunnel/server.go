package tunnel

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/reach"
)

const (
	// maxTunnels bounds the connections that one gateway carries; each takes two descriptors of some
	// thousand, and about 20 KB.
	maxTunnels = 800
	// copyBytes is the size of a copy buffer: room for a few events of a stream.
	copyBytes = 4 << 10
)

// ServerOptions configure a Server; all fields are required.
type ServerOptions struct {
	// IsPeer reports whether a gateway with this IP address is known. Only peers are served.
	IsPeer func(ip string) bool
	// Draining reports whether this gateway shuts down.
	Draining func() bool
	// Connector connects directly and knows the listed endpoints.
	Connector *Connector
	Log       *logrus.Logger
	Scope     tally.Scope
}

// Server carries connections for peers. It is safe for concurrent use.
type Server struct {
	ServerOptions
	active atomic.Int64
}

// NewServer returns a server without a listener; Wrap adds it to one.
func NewServer(options ServerOptions) *Server { return &Server{ServerOptions: options} }

// Active returns the number of connections that are carried.
func (s *Server) Active() int { return int(s.active.Load()) }

// Wrap returns a handler that serves the CONNECT method, and all other requests by next.
func (s *Server) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			next.ServeHTTP(w, r)
			return
		}
		s.serve(w, r)
	})
}

// serve connects to the endpoint, answers, and copies bytes until one side ends.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if s.active.Add(1) > maxTunnels || s.Draining() {
		s.active.Add(-1)
		s.answer(w, r, reach.Busy)
		return
	}
	defer s.active.Add(-1)
	endpoint, verdict := s.connect(r)
	if endpoint == nil {
		s.answer(w, r, verdict)
		return
	}
	defer func() { _ = endpoint.Close() }()
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.log(r, "tunnel_failed", logrus.Fields{"error": err}).Warn("a connection could not be carried")
		return
	}
	defer func() { _ = peer.Close() }()
	_ = peer.SetDeadline(time.Time{})
	if _, err := fmt.Fprintf(peer, "HTTP/1.1 %d OK\r\n%s: %s\r\n\r\n", statusOf(reach.Connected), verdictField, reach.Connected); err != nil {
		return // The peer has left.
	}
	s.count(reach.Connected)
	s.log(r, "tunnel", logrus.Fields{"took": time.Since(started)}).Info("carries a connection of a peer")
	sent, received := splice(peer, buffered.Reader, endpoint)
	s.log(r, "tunnel_end", logrus.Fields{"sent": sent, "received": received, "lasted": time.Since(started)}).Info("a carried connection ended")
}

// connect checks that a connection may be carried, and opens it.
func (s *Server) connect(r *http.Request) (net.Conn, reach.Verdict) {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil || !s.IsPeer(ip) {
		return nil, reach.Forbidden
	}
	target, listed := s.Connector.Find(r.Host)
	if !listed {
		return nil, reach.Unlisted
	}
	if s.Connector.Paths.State(target.Address) == reach.Cut {
		return nil, reach.CantTell
	}
	conn, err := s.Connector.dialDirect(r.Context(), target.Address, carrierDialTimeout)
	if err != nil {
		verdict := reach.Judge(s.Connector.reference(r.Context(), target))
		if verdict == reach.Down {
			s.Connector.Paths.FoundDown(target.Address)
		}
		return nil, verdict
	}
	return conn, reach.Connected
}

// answer refuses to carry a connection.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, verdict reach.Verdict) {
	s.count(verdict)
	s.log(r, "tunnel_refused", logrus.Fields{"verdict": verdict}).Info("carries no connection of a peer")
	w.Header().Set(verdictField, string(verdict))
	w.Header().Set("Connection", "close")
	w.WriteHeader(statusOf(verdict))
}

func (s *Server) count(verdict reach.Verdict) {
	s.Scope.Tagged(map[string]string{"verdict": string(verdict)}).Counter("tunnels_asked").Inc(1)
}

func (s *Server) log(r *http.Request, event string, fields logrus.Fields) *logrus.Entry {
	return s.Log.WithFields(logrus.Fields{
		"event": event, "tunnel": r.Header.Get(tunnelField), "request_id": r.Header.Get(requestField), "peer": r.Header.Get(vmField),
		"remote": r.RemoteAddr, "address": r.Host, "carried": s.Active(),
	}).WithFields(fields)
}

// splice copies bytes between a peer and an endpoint until both directions have ended. The peer
// must learn how the endpoint's side ended: an orderly end may complete a response, a reset never
// does. The peer's connection is therefore reset unless the endpoint's ended in order, also if this
// process is killed meanwhile. The peer's end, in order or not, means that nobody reads a response,
// and closes the endpoint's connection at once.
func splice(peer net.Conn, fromPeer io.Reader, toEndpoint net.Conn) (sent, received int64) {
	endpoint := httpio.Watch(toEndpoint) // A reset may be reported to the write alone.
	httpio.ResetAtClose(peer, true)
	var both sync.WaitGroup
	both.Go(func() {
		sent, _ = copyBytesOf(endpoint, fromPeer)
		_ = endpoint.Close()
	})
	received, err := copyBytesOf(peer, endpoint)
	if err == nil {
		httpio.ResetAtClose(peer, false)
	}
	_ = peer.Close()
	both.Wait()
	return sent, received
}

// copyBytesOf copies through a small buffer of its own. The error is nil if from ended in order.
func copyBytesOf(to io.Writer, from io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBytes))
}
