package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/drain"
	"github.com/primrosewell/primrosewell/internal/forward"
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
	"github.com/primrosewell/primrosewell/internal/resume"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/standin/relay"
	"github.com/primrosewell/primrosewell/internal/telemetry"
	"github.com/primrosewell/primrosewell/internal/testport"
)

// script handles one request on a raw connection. It returns false to close the connection.
type script func(r *http.Request, body string, conn net.Conn) bool

// fakeEndpoint runs one script per request, in order, and the last one for all further requests.
type fakeEndpoint struct {
	listener net.Listener
	// relay, if set, is between the forwarder and the endpoint.
	relay *relay.Relay
	// onHeader, if set, is called when the header of a request has been read and its body has not.
	onHeader func(r *http.Request, conn net.Conn)
	// version is the version of the endpoint's software.
	version  string
	mu       sync.Mutex
	scripts  []script
	requests []*http.Request
	accepted int
	closed   int
	// reserved holds the endpoint's port, also after it has exited.
	reserved *testport.Reservation
}

func newEndpoint(scripts ...script) *fakeEndpoint {
	listener, reserved, err := testport.ListenReserved()
	Expect(err).NotTo(HaveOccurred())
	e := &fakeEndpoint{listener: listener, reserved: reserved, scripts: scripts}
	DeferCleanup(func() {
		_ = listener.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.reserved != nil {
			e.reserved.Release()
		}
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

// exit refuses connections from now on, as an endpoint whose process has exited.
func (e *fakeEndpoint) exit() { _ = e.listener.Close() }

// behindRelay puts a relay before the endpoint. Call it before newFixture.
func (e *fakeEndpoint) behindRelay() *fakeEndpoint {
	r, err := relay.New(context.Background(), e.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	e.relay = r
	return e
}

func (e *fakeEndpoint) address() string {
	if e.relay != nil {
		return e.relay.Address()
	}
	return e.listener.Addr().String()
}

func (e *fakeEndpoint) serve(conn net.Conn) {
	e.mu.Lock()
	e.accepted++
	e.mu.Unlock()
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		e.closed++
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if e.onHeader != nil {
			e.onHeader(r, conn)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.requests = append(e.requests, r)
		next := e.scripts[min(len(e.requests), len(e.scripts))-1]
		e.mu.Unlock()
		if !next(r, string(body), conn) {
			return
		}
	}
}

func (e *fakeEndpoint) received() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.requests...)
}

func (e *fakeEndpoint) acceptedConns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted
}

func (e *fakeEndpoint) closedConns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

const requestIDField = "Primrosewell-Request-Id"

// reply writes a complete response with the given header fields.
func reply(status int, fields, body string) script {
	return func(r *http.Request, _ string, conn net.Conn) bool {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, requestIDField, r.Header.Get(requestIDField), fields, len(body), body)
		return true
	}
}

const signatureField = "Seal: s\r\n"

func ok(body string) script { return reply(200, signatureField, body) }

func refuseNotRun() script { return reply(503, "Primrosewell-Not-Run: 1\r\n", "") }

// closeWithoutResponse closes the connection after it has read the request.
func closeWithoutResponse(*http.Request, string, net.Conn) bool { return false }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n) }

// streamOf sends events and tail as chunks, and the end of the stream if complete is set.
func streamOf(complete bool, tail string, events ...int) script {
	return func(r *http.Request, _ string, conn net.Conn) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", requestIDField, r.Header.Get(requestIDField), signatureField)
		for _, n := range events {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(n)), event(n))
		}
		if tail != "" {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(tail), tail)
		}
		if complete {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
		return complete
	}
}

// fixture is a forwarder between a callers' listener and fake endpoints.
type fixture struct {
	forwarder *forward.Forwarder
	address   string
	pool      *balance.Pool
	streams   *resume.Tracker
	// listed is the list of endpoints; see relist.
	listed  []routetable.Endpoint
	table   *routetable.Table
	server  *httpio.Server
	closing atomic.Bool
	// stop is the planned stop of the daemon, or nil.
	stop atomic.Pointer[drain.Stop]
	// kept, if set, keeps the caller's connections open.
	kept *http.Transport
	// blocksKnown is closed unless a spec replaces it.
	blocksKnown chan struct{}
	// counted has the requests that were counted as run.
	counted chan counted
}

// counted is a request that was counted as run by an endpoint.
type counted struct {
	at        time.Time
	workspace string
}

func newFixture(spec routetable.Spec, endpoints ...*fakeEndpoint) *fixture {
	return newFixtureWith(httpio.NewDialer(), spec, endpoints...)
}

// newFixtureWith uses a dialer of the spec's own.
func newFixtureWith(dialer *httpio.Dialer, spec routetable.Spec, endpoints ...*fakeEndpoint) *fixture {
	fx := &fixture{streams: resume.NewTracker(), pool: balance.NewPool("dc", rand.New(rand.NewPCG(1, 1))), table: routetable.New(spec), blocksKnown: make(chan struct{}), counted: make(chan counted, 100)}
	close(fx.blocksKnown)
	fx.streams.Restore(time.Now(), nil) // The gateway has read which versions were recent, and the list.
	fx.streams.AssignVersion(directory.Version{Number: 1}, true)
	for i, e := range endpoints {
		fx.listed = append(fx.listed, listedAs(fmt.Sprint("e", i), e))
	}
	fx.relist()
	fx.install(spec)
	names := headers.Default()
	names.ResponseSignature, names.Load = "Seal", loadField
	names.Reserved = []string{"Hold"}
	fx.forwarder = forward.New(forward.Options{
		Headers:          names,
		Table:            func() *routetable.Table { return fx.table },
		Pools:            func(string) *balance.Pool { return fx.pool },
		EndpointsVersion: func() int64 { return 1 },
		EndpointsAge:     func(time.Time) time.Duration { return 0 },
		ShuttingDown:     fx.closing.Load,
		PlannedStop: func() (drain.Stop, bool) {
			if stop := fx.stop.Load(); stop != nil {
				return *stop, true
			}
			return drain.Stop{}, false
		},
		Dialer: dialer,
		Budget: retry.NewSharedBudget(retry.SharedBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 50, Margin: 1}, 1),

		Streams: fx.streams,
		Began: func(at time.Time, workspace string) {
			select {
			case fx.counted <- counted{at, workspace}:
			default: // The spec is not about counts.
			}
		},
		BlocksKnown: func() <-chan struct{} { return fx.blocksKnown },
		Contents:    parts.NewLedger(time.Now().Add(-time.Hour), parts.Options{Policy: parts.RequestPolicy(), MakesTrials: func(parts.Key, int64) bool { return true }, OnChange: func(parts.Change) {}}),
		Parts:       parts.NewLedger(time.Now(), parts.Options{Policy: parts.PartPolicy(), MakesTrials: func(parts.Key, int64) bool { return true }, OnChange: func(parts.Change) {}}),
		Log:         telemetry.SilentLogger(),
		Scope:       tally.NoopScope,
	})
	fx.server = httpio.NewServer(httpio.Options{
		Handler: fx.forwarder.Handle,
		Limits: func() httpio.Limits {
			return httpio.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20, HeaderTimeout: time.Second, BodyTimeout: 10 * time.Second, IdleTimeout: 5 * time.Second}
		},
		OnReject: func(_ net.Addr, status int, _ httpio.RejectReason, _ *fasthttp.RequestHeader) httpio.Rejection {
			return httpio.Rejection{Status: status}
		},
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	fx.address = listener.Addr().String()
	go func() { _ = fx.server.Serve(listener) }()
	return fx
}

// install puts a route table in force.
func (fx *fixture) install(spec routetable.Spec) {
	fx.table = routetable.New(spec)
	fx.streams.ObserveRoutes(time.Now(), fx.table.ResumableServices())
}

// listedAs returns the entry of an endpoint in the list.
func listedAs(id string, e *fakeEndpoint) routetable.Endpoint {
	return routetable.Endpoint{ID: id, Service: "svc", Address: e.address(), DataCentre: "dc", Slots: 8, Version: e.version}
}

// relist applies the list of endpoints, as a list of a peer or a new watch would.
func (fx *fixture) relist() {
	fx.pool.Update(time.Now(), fx.listed)
	fx.streams.Observe(time.Now(), fx.listed)
}

// spec returns a route table with one route of each kind.
func spec() routetable.Spec {
	backends := []routetable.Backend{{Service: "svc", Weight: 1}}
	route := func(name string, kind routetable.Kind, attempts int) routetable.Route {
		return routetable.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Backends: backends,
			Timeout: 5 * time.Second, MaxAttempts: attempts, Priority: 2,
		}
	}
	s := routetable.Spec{
		Version: 1, KeysRequired: true,
		Routes: []routetable.Route{
			route("safe", routetable.Idempotent, 2), route("unsafe", routetable.NonIdempotent, 1),
			route("stream", routetable.Streaming, 1), route("resume", routetable.Streaming, 2), route("open", routetable.Idempotent, 1),
		},
		Workspaces: []routetable.Workspace{{Name: "acme", Keys: []string{"key"}}},
	}
	s.Routes[3].Resumable = true
	s.Routes[4].Anonymous = true
	return s
}

// call sends one request on a new connection, unless kept is set; it returns nil if there is no response.
func (fx *fixture) call(path string, fields ...string) *http.Response {
	return fx.callWithContext(context.Background(), path, fields...)
}

func (fx *fixture) callWithContext(ctx context.Context, path string, fields ...string) *http.Response {
	return fx.callWithBody(ctx, path, "the body", fields...)
}

func (fx *fixture) callWithBody(ctx context.Context, path, body string, fields ...string) *http.Response {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fx.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set(requestIDField, "id-1")
	r.Header.Set("Primrosewell-Key", "key")
	r.Header.Set("Primrosewell-Deadline-Ms", "3000")
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	transport := fx.kept
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
		DeferCleanup(transport.CloseIdleConnections)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return nil
	}
	return response
}

// readBody reads a response body and reports whether it ended as the protocol requires.
func readBody(r *http.Response) (body string, complete bool) {
	data, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	return string(data), err == nil
}
