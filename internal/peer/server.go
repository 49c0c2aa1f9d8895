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
	"github.com/primrosewell/primrosewell/internal/memory"
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

// ServerOptions configures a Server. Key is required. With TLS set, the server accepts TLS
// only; TLS.ClientCAs and TLS.ClientAuth make it mutual TLS.
type ServerOptions struct {
	Key      string
	TLS      *tls.Config
	Handlers Handlers
	Logger   logrus.FieldLogger
}

// Server serves the calls of other daemons.
type Server struct {
	http *http.Server
	tls  bool
}

// NewServer returns a server that does not listen yet.
func NewServer(opts ServerOptions) *Server {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(
		&service{handlers: opts.Handlers},
		connect.WithInterceptors(requireKey(opts.Key)),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithRecover(recoverPanic(opts.Logger)),
	))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(opts.TLS != nil)
	protocols.SetUnencryptedHTTP2(opts.TLS == nil)
	return &Server{tls: opts.TLS != nil, http: &http.Server{
		Handler:           refuseStrangers(opts.Key, mux),
		ConnState:         memory.OnState,
		TLSConfig:         opts.TLS,
		Protocols:         &protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ErrorLog:          log.New(debugWriter{opts.Logger}, "", 0),
		MaxHeaderBytes:    memory.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}}
}

// debugWriter logs the HTTP server's own messages at debug level.
type debugWriter struct{ logger logrus.FieldLogger }

// Write implements io.Writer.
func (w debugWriter) Write(p []byte) (int, error) {
	if w.logger != nil {
		w.logger.WithField("event", "peer_http").Debug(strings.TrimSpace(string(p)))
	}
	return len(p), nil
}

// recoverPanic logs a panic in a handler and returns a failure for it.
func recoverPanic(logger logrus.FieldLogger) func(context.Context, connect.Spec, http.Header, any) error {
	return func(_ context.Context, spec connect.Spec, _ http.Header, value any) error {
		if logger != nil {
			logger.WithFields(logrus.Fields{"procedure": spec.Procedure, "panic": value}).Error("peer call panicked")
		}
		return toConnect(failure.New(failure.Internal, "the daemon failed while it answered"))
	}
}

// Serve serves connections of listener until Shutdown or Close, and then returns nil.
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

// Shutdown stops listening and waits until the calls in progress end or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return failure.Wrap(err, failure.Internal, "peer calls were still in progress")
	}
	return nil
}

// Close closes the listener and all connections at once; calls in progress fail.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return failure.Wrap(err, failure.Internal, "the peer listener did not close")
	}
	return nil
}
