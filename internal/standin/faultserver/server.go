// Package faultserver is an HTTP server that simulates crashes: it resets all
// connections, refuses new ones for a given time, then listens again at the same address.
// The stand-ins use it; it is not part of the product's request path.
package faultserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// Forever as a down time means that the server does not listen again.
	Forever = time.Duration(-1)

	readHeaderTimeout = 10 * time.Second
	relistenInterval  = 5 * time.Millisecond
	relistenAttempts  = 2000
)

// Server serves a handler until its context ends. Its methods are safe for concurrent use.
type Server struct {
	handler http.Handler
	crashes chan time.Duration

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	listener net.Listener
}

// New returns a server for handler.
func New(handler http.Handler) *Server {
	return &Server{handler: handler, crashes: make(chan time.Duration, 1), conns: map[net.Conn]struct{}{}}
}

// Serve accepts connections on ln until ctx ends, then closes the listener and all
// connections and returns nil. It returns an error if it can't listen again after a crash.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	address := ln.Addr().String()
	for {
		server := s.start(ln)
		select {
		case <-ctx.Done():
			return server.Close()
		case downFor := <-s.crashes:
			_ = server.Close()
			next, err := relisten(ctx, address, downFor)
			if next == nil {
				return err
			}
			ln = next
		}
	}
}

// Crash resets all connections at once and refuses new ones for downFor; Forever or any
// negative value means until the server ends.
func (s *Server) Crash(downFor time.Duration) {
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		resetConn(conn)
	}
	clear(s.conns)
	s.mu.Unlock()
	select {
	case s.crashes <- downFor:
	default: // a crash is already being handled.
	}
}

func (s *Server) start(ln net.Listener) *http.Server {
	server := &http.Server{Handler: s.handler, ConnState: s.trackConn, ReadHeaderTimeout: readHeaderTimeout}
	s.mu.Lock()
	s.listener = ln
	s.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	return server
}

func (s *Server) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	default:
	}
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func relisten(ctx context.Context, address string, downFor time.Duration) (net.Listener, error) {
	if downFor < 0 {
		<-ctx.Done()
		return nil, nil
	}
	if !sleep(ctx, downFor) {
		return nil, nil
	}
	var lastErr error
	for range relistenAttempts {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil {
			return ln, nil
		}
		lastErr = err
		if !sleep(ctx, relistenInterval) {
			return nil, nil
		}
	}
	return nil, lastErr
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
