package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/gofiber/fiber/v3/middleware/pprof"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/settings"
)

// Keys of the values kept with a request (fiber.Ctx.Locals).
const (
	operatorKey  = "operator"
	requestIDKey = "request_id"
)

const (
	// readTimeout bounds the time in which a call arrives, and idleTimeout the time between two calls of
	// a connection.
	readTimeout, idleTimeout = 10 * time.Second, 2 * time.Minute
)

// Objects reads and changes configuration objects; *distribution.Distributor implements it.
type Objects interface {
	Apply(ctx context.Context, kind catalog.Kind, spec []byte, w distribution.WriteOptions) (distribution.ApplyResult, error)
	Delete(ctx context.Context, kind catalog.Kind, name string, w distribution.WriteOptions) (distribution.ApplyResult, error)
	Get(kind catalog.Kind, name string) (catalog.Record, error)
	List(kind catalog.Kind) []catalog.Record
	Revision() int64
}

// Options configures a Server. All fields are required.
type Options struct {
	Settings settings.Admin
	Objects  Objects
	// Status returns the status of this daemon.
	Status func(ctx context.Context) Status
	// Drain starts a graceful shutdown and doesn't wait for it.
	Drain   func()
	Ready   func() error
	Metrics http.Handler
	Log     *logrus.Logger
}

// Server serves the admin API. Its methods may be called concurrently.
type Server struct {
	options Options
	app     *fiber.App
}

// New returns a server; it accepts no connection before Serve.
func New(options Options) *Server {
	s := &Server{options: options}
	s.app = fiber.New(fiber.Config{ErrorHandler: s.handleError, BodyLimit: platform.MaxObjectBytes, StreamRequestBody: true, DisablePreParseMultipartForm: true, ReadTimeout: readTimeout, IdleTimeout: idleTimeout})
	s.app.Server().ConnState = memory.OnFastState
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.handleReady)
	s.app.Use(s.authenticate)
	s.app.Use(pprof.New())
	s.app.Get("/metrics", adaptor.HTTPHandler(options.Metrics))
	s.app.Get(statusPath, func(c fiber.Ctx) error { return c.JSON(options.Status(c.Context())) })
	s.app.Post(drainPath, s.handleDrain)
	s.app.Get(objectsPath+"/:kind", s.handleList)
	s.app.Get(objectsPath+"/:kind/:name", s.handleGet)
	s.app.Put(objectsPath+"/:kind/:name", s.handleApply)
	s.app.Delete(objectsPath+"/:kind/:name", s.handleDelete)
	return s
}

// Serve serves the admin API on listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return failure.Wrap(err, failure.Internal, "operators' listener")
	}
	return nil
}

// Shutdown closes the listener and waits for calls in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// authenticate requires an operator's bearer token and stores the operator's name.
func (s *Server) authenticate(c fiber.Ctx) error {
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return failure.New(failure.Unauthenticated, "header Authorization: allowed: Bearer and an operator's token")
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	for _, operator := range s.options.Settings.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(operator.TokenHash))) == 1 {
			c.Locals(operatorKey, operator.Name)
			return c.Next()
		}
	}
	return failure.New(failure.Unauthenticated, "the token belongs to no operator")
}

func (s *Server) handleReady(c fiber.Ctx) error {
	if err := s.options.Ready(); err != nil {
		return err
	}
	return c.SendString("ready\n")
}

func (s *Server) handleDrain(c fiber.Ctx) error {
	status := s.options.Status(c.Context())
	s.changeLog(c, "drain", "", "").Info("operator ordered a drain")
	s.options.Drain()
	return c.JSON(DrainResult{VM: status.VM, InFlight: status.InFlight})
}

func (s *Server) handleList(c fiber.Ctx) error {
	kind, err := kindParam(c)
	if err != nil {
		return err
	}
	return c.JSON(RecordList{Revision: s.options.Objects.Revision(), Items: s.options.Objects.List(kind)})
}

func (s *Server) handleGet(c fiber.Ctx) error {
	kind, err := kindParam(c)
	if err != nil {
		return err
	}
	record, err := s.options.Objects.Get(kind, strings.Clone(c.Params("name")))
	if err != nil {
		return err
	}
	return c.JSON(record)
}

func (s *Server) handleApply(c fiber.Ctx) error {
	kind, options, err := s.changeParams(c)
	if err != nil {
		return err
	}
	spec, err := readBody(c)
	if err != nil {
		return err
	}
	name, _, err := catalog.Decode(kind, spec)
	if err != nil {
		return err
	}
	if name != c.Params("name") {
		return failure.New(failure.InvalidObject, "name: found "+name+"; allowed: the name in the path, "+c.Params("name"))
	}
	result, err := s.options.Objects.Apply(c.Context(), kind, spec, options)
	return s.respondToChange(c, "apply", kind, name, result, err)
}

// readBody reads the body of an authenticated call.
func readBody(c fiber.Ctx) ([]byte, error) {
	body, err := memory.ReadRequest(c.RequestCtx(), platform.MaxObjectBytes)
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, fiber.ErrRequestEntityTooLarge
	case errors.Is(err, memory.ErrNoRoom):
		return nil, noRoom()
	case err != nil:
		return nil, fiber.ErrBadRequest
	}
	return body, nil
}

// noRoom returns the failure of a call for which the account of memory has no room.
func noRoom() *failure.Failure {
	return failure.New(failure.Overloaded, "this daemon holds too much for others")
}

func (s *Server) handleDelete(c fiber.Ctx) error {
	kind, options, err := s.changeParams(c)
	if err != nil {
		return err
	}
	name := strings.Clone(c.Params("name"))
	result, err := s.options.Objects.Delete(c.Context(), kind, name, options)
	return s.respondToChange(c, "delete", kind, name, result, err)
}

// changeParams returns the object kind of an apply or delete and its write options: the
// operator and the expected version.
func (s *Server) changeParams(c fiber.Ctx) (catalog.Kind, distribution.WriteOptions, error) {
	operator, _ := c.Locals(operatorKey).(string)
	options := distribution.WriteOptions{ChangedBy: operator}
	kind, err := kindParam(c)
	if err != nil {
		return "", options, err
	}
	header := c.Get(IfVersionHeader)
	if header == "" {
		return kind, options, nil
	}
	version, err := strconv.ParseInt(header, 10, 64)
	if err != nil || version < 0 {
		return "", options, failure.New(failure.InvalidRequest, "header "+IfVersionHeader+": allowed: a version, or 0 for a new object")
	}
	options.ExpectedVersion = &version
	return kind, options, nil
}

// respondToChange logs the outcome of a change and sends the result or the error.
func (s *Server) respondToChange(c fiber.Ctx, verb string, kind catalog.Kind, name string, result ApplyResult, err error) error {
	entry := s.changeLog(c, verb, kind, name).WithFields(logrus.Fields{
		"revision": result.Revision,
		"in_force": result.InForce,
		"members":  result.Members,
	})
	if err != nil {
		entry.WithField("code", failure.CodeOf(err)).Warn("change not accepted")
		return err
	}
	entry.Info("change accepted")
	return c.JSON(result)
}

func (s *Server) changeLog(c fiber.Ctx, verb string, kind catalog.Kind, name string) *logrus.Entry {
	return s.options.Log.WithFields(logrus.Fields{
		"event":    "change",
		"verb":     verb,
		"kind":     kind,
		"name":     name,
		"operator": c.Locals(operatorKey),
	})
}

func kindParam(c fiber.Ctx) (catalog.Kind, error) {
	for _, kind := range catalog.Kinds {
		if c.Params("kind") == string(kind) {
			return kind, nil
		}
	}
	return "", failure.New(failure.InvalidRequest, "kind: found "+strings.Clone(c.Params("kind"))+"; allowed: profile, workspace, service, endpoint")
}

func (s *Server) handleError(c fiber.Ctx, err error) error {
	conn := c.RequestCtx().Conn()
	memory.LingerAtClose(conn)
	f := failure.From(err)
	var httpErr *fiber.Error
	switch {
	case errors.Is(err, fiber.ErrRequestTimeout) && memory.HolderOf(conn).GaveWay():
		f = noRoom() // The read was ended before its time.
	case errors.As(err, &httpErr):
		f = failure.New(failure.InvalidRequest, httpErr.Message)
		if httpErr.Code == fiber.StatusNotFound {
			f = failure.New(failure.NotFound, "no such path")
		}
	}
	id := uuid.NewString()
	c.Locals(requestIDKey, id)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(f.Code.HTTPStatus()).Send(failure.Body(f, id))
}
