package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/peer/peerv1/peerv1connect"
)

// Limits of the peer listener.
const (
	maxMessageBytes   = 32 << 20
	compressMinBytes  = 16 << 10
	maxStreams        = 20_000
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// ServerOptions configures a Server. Key is required; with TLS set, the listener
// speaks TLS only, and TLS.ClientCAs with ClientAuth makes it mutual.
type ServerOptions struct {
	Key      string
	TLS      *tls.Config
	Handlers Handlers
	Logger   logrus.FieldLogger
}

// Server answers the calls of other daemons.
type Server struct {
	http *http.Server
	tls  bool
}

// NewServer returns a server that is not listening yet.
func NewServer(opts ServerOptions) *Server {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(
		&service{handlers: opts.Handlers},
		connect.WithInterceptors(requireKey(opts.Key)),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithRecover(recovered(opts.Logger)),
	))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(opts.TLS != nil)
	protocols.SetUnencryptedHTTP2(opts.TLS == nil)
	return &Server{tls: opts.TLS != nil, http: &http.Server{
		Handler:           mux,
		TLSConfig:         opts.TLS,
		Protocols:         &protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ErrorLog:          log.New(debugWriter{opts.Logger}, "", 0),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}}
}

// debugWriter passes the HTTP server's own messages on at the debug level.
type debugWriter struct{ logger logrus.FieldLogger }

// Write implements io.Writer.
func (w debugWriter) Write(p []byte) (int, error) {
	if w.logger != nil {
		w.logger.WithField("event", "peer_http").Debug(strings.TrimSpace(string(p)))
	}
	return len(p), nil
}

// recovered turns a panic in a handler into a failure and a log line.
func recovered(logger logrus.FieldLogger) func(context.Context, connect.Spec, http.Header, any) error {
	return func(_ context.Context, spec connect.Spec, _ http.Header, value any) error {
		if logger != nil {
			logger.WithFields(logrus.Fields{"procedure": spec.Procedure, "panic": value}).Error("peer call panicked")
		}
		return toConnect(failure.New(failure.Internal, "the daemon failed while it answered"))
	}
}

// Serve answers on listener until Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	err := s.serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return failure.Wrap(err, failure.Internal, "the peer listener failed")
}

func (s *Server) serve(listener net.Listener) error {
	if s.tls {
		return s.http.ServeTLS(listener, "", "")
	}
	return s.http.Serve(listener)
}

// Shutdown stops listening and waits for the calls in progress, or for ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return failure.Wrap(err, failure.Internal, "peer calls were still in progress")
	}
	return nil
}

// Close ends at once, with the calls in progress.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return failure.Wrap(err, failure.Internal, "the peer listener did not close")
	}
	return nil
}
