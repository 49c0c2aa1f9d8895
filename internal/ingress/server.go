// Package ingress is the HTTP server for callers: the OpenAI API and the calls to plain
// services. It authenticates, validates and copies each request, passes it to the
// dispatcher and converts the result to an HTTP response.
package ingress

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/settings"
)

// Options configures a Server. All fields are required.
type Options struct {
	Settings settings.Callers
	// Catalog returns the configuration in force, or nil if none has been loaded yet.
	Catalog func() *catalog.Snapshot
	Runner  dispatch.Runner
	// Ready returns nil if the daemon accepts new requests, otherwise the reason as a
	// failure.
	Ready func() error
	Log   *logrus.Logger
	Scope tally.Scope
}

// Server is the HTTP server for callers. All methods are safe for concurrent use.
type Server struct {
	options     Options
	app         *fiber.App
	disconnects *disconnectWatcher
	inFlight    *inFlight
	draining    atomic.Bool
}

// New returns a server; it listens when Serve is called.
func New(options Options) *Server {
	s := &Server{options: options, disconnects: newDisconnectWatcher(), inFlight: newInFlight()}
	s.app = fiber.New(fiber.Config{
		BodyLimit:                 options.Settings.MaxBodyBytes,
		ReadTimeout:               options.Settings.ReadTimeout,
		IdleTimeout:               options.Settings.IdleTimeout,
		ErrorHandler:              s.handleError,
		DisableDefaultContentType: true,
		DisableHeaderNormalizing:  false,
		// Bodies are read with room of the account (readBody).
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
	})
	s.app.Server().ConnState = memory.OnFastState
	s.app.Use(clearWriteDeadline)
	s.app.Use(s.closeWhileDraining)
	s.app.Use(refuseAmbiguousLength)
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.handleReady)
	s.app.Get("/v1/models", s.handleModels)
	s.app.Get("/v1/models/*", s.handleModel)
	s.app.Post("/v1/chat/completions", s.handleEngine(dispatch.ChatCompletions))
	s.app.Post("/v1/completions", s.handleEngine(dispatch.Completions))
	s.app.All("/services/:service", s.handlePlain)
	s.app.All("/services/:service/*", s.handlePlain)
	s.app.Use(func(fiber.Ctx) error {
		return failure.New(failure.NotFound, "no such path; callers use /v1/chat/completions, /v1/completions, /v1/models and /services/{service}/")
	})
	return s
}

// Serve serves callers on listener until Shutdown is called or the listener fails.
// Disconnected callers are detected until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	go s.disconnects.Run(ctx) // Outlives the listener: callers may disconnect during a drain.
	err := s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "callers' listener")
	}
	return nil
}

// Drain makes every response close its connection, so that callers reconnect to
// another daemon.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return s.inFlight.Count() }

// InFlightIDs returns the IDs of the requests in progress, in no particular order.
func (s *Server) InFlightIDs() []string { return s.inFlight.IDs() }

// Shutdown closes the listener and idle connections and waits for the requests in
// progress. It returns an error if ctx ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return failure.Wrap(err, failure.Draining, "callers' listener did not close in time")
	}
	// Keyed requests continue after their caller has disconnected, so that closed
	// connections do not mean that they have ended.
	if err := s.inFlight.Wait(ctx); err != nil {
		return failure.Wrap(err, failure.Draining, "requests in progress did not end in time")
	}
	return nil
}

// closeWhileDraining makes callers with persistent connections reconnect to another daemon
// while this one is draining.
func (s *Server) closeWhileDraining(c fiber.Ctx) error {
	if s.draining.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	return c.Next()
}

// clearWriteDeadline removes the write deadline that an earlier stream left on the connection.
func clearWriteDeadline(c fiber.Ctx) error {
	_ = c.RequestCtx().Conn().SetWriteDeadline(time.Time{}) // An error means that the connection is closed; the write reports it.
	return c.Next()
}

func (s *Server) handleReady(c fiber.Ctx) error {
	if err := s.options.Ready(); err != nil {
		return err
	}
	return c.SendString("ready\n")
}

func (s *Server) handleError(c fiber.Ctx, err error) error {
	conn := c.RequestCtx().Conn()
	memory.LingerAtClose(conn)
	f := failureOf(err)
	if errors.Is(err, fiber.ErrRequestTimeout) && memory.HolderOf(conn).GaveWay() {
		f = noRoom() // The read was ended before its time.
	}
	return s.writeFailure(c, requestID(c), f)
}

func (s *Server) logRequest(r dispatch.Request, status int, result dispatch.Result) {
	fields := logrus.Fields{
		"event":      "request",
		"request_id": r.ID,
		"workspace":  r.Workspace.Name,
		"profile":    r.Profile.Name,
		"service":    r.Service.Name,
		"status":     status,
		"outcome":    result.Outcome,
		"attempts":   result.Attempts,
		"queue_wait": result.QueueWait,
		"elapsed":    time.Since(r.Arrived),
	}
	if result.Failure != nil {
		fields["code"] = result.Failure.Code
	}
	s.options.Log.WithFields(fields).Info("request ended")
}
