package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/standin/engine"
	"github.com/primrosewell/primrosewell/internal/standin/service"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dispatch")
}

// fakeBroker grants the least busy endpoint that the permit request does not avoid. Suspect
// requests run isolated.
type fakeBroker struct {
	mu         sync.Mutex
	endpoints  []catalog.Endpoint
	busy       map[string]int
	isolated   map[string]bool
	granted    map[string]routing.PermitRequest
	reports    map[string][]routing.Report
	hedgeAfter time.Duration
	progress   map[string]int
}

func (b *fakeBroker) Progress(attemptID string, outputTokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.progress[attemptID] = outputTokens
}

const acquirePollInterval = time.Millisecond

func (b *fakeBroker) Acquire(ctx context.Context, permitRequest routing.PermitRequest) (routing.Grant, error) {
	for {
		if grant, ok := b.tryGrant(permitRequest); ok {
			return grant, nil
		}
		select {
		case <-ctx.Done():
			return routing.Grant{}, ctx.Err()
		case <-time.After(acquirePollInterval):
		}
	}
}

func (b *fakeBroker) tryGrant(permitRequest routing.PermitRequest) (routing.Grant, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	available := lo.Filter(b.endpoints, func(e catalog.Endpoint, _ int) bool {
		return !b.isolated[e.Name] && (!permitRequest.Suspect || b.busy[e.Name] == 0)
	})
	preferred := lo.Reject(available, func(e catalog.Endpoint, _ int) bool { return lo.Contains(permitRequest.Avoid, e.Name) })
	if len(preferred) == 0 && len(permitRequest.Avoid) >= len(b.endpoints) {
		preferred = available
	}
	if len(preferred) == 0 {
		return routing.Grant{}, false
	}
	e := lo.MinBy(preferred, func(x, y catalog.Endpoint) bool { return b.busy[x.Name] < b.busy[y.Name] })
	b.busy[e.Name]++
	b.isolated[e.Name] = permitRequest.Suspect
	Expect(b.granted).NotTo(HaveKey(permitRequest.ID))
	b.granted[permitRequest.ID] = permitRequest
	return routing.Grant{AttemptID: permitRequest.ID, Endpoint: e, Priority: int(permitRequest.Tier), HedgeAfter: b.hedgeAfter}, true
}

func (b *fakeBroker) Release(r routing.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[r.AttemptID] = append(b.reports[r.AttemptID], r)
	b.busy[r.Endpoint]--
	if b.granted[r.AttemptID].Suspect {
		b.isolated[r.Endpoint] = false
	}
}

// grantsWithoutOneReport lists the attempt IDs that do not have exactly one report.
func (b *fakeBroker) grantsWithoutOneReport() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := lo.Uniq(append(lo.Keys(b.granted), lo.Keys(b.reports)...))
	return lo.Filter(ids, func(id string, _ int) bool { return len(b.reports[id]) != 1 })
}

func (b *fakeBroker) results() []routing.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	return lo.FlatMap(lo.Values(b.reports), func(rs []routing.Report, _ int) []routing.Result {
		return lo.Map(rs, func(r routing.Report, _ int) routing.Result { return r.Result })
	})
}

// fakeClaims is an in-memory claim log and response store.
type fakeClaims struct {
	mu        sync.Mutex
	held      map[string]claim.Claim
	states    map[string]dispatch.HolderState
	responses map[string]*dispatch.StoredResponse
	err       error
	nonce     uint64
	// expired makes every granted claim too old to be dispatched.
	expired bool
}

func keyOf(c claim.Claim) string { return c.Workspace + "/" + c.Key }

func (f *fakeClaims) Claim(_ context.Context, c claim.Claim) (claim.Outcome, claim.Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return "", claim.Claim{}, f.err
	}
	holder, ok := f.held[keyOf(c)]
	switch {
	case !ok:
		f.nonce++
		c.Nonce = f.nonce
		f.held[keyOf(c)] = c
		f.states[keyOf(c)] = dispatch.HolderRunning
		c.Deadline = time.Now().Add(lo.Ternary(f.expired, -time.Second, time.Minute))
		return claim.Granted, c, nil
	case holder.Digest != c.Digest:
		return claim.Mismatched, holder, nil
	default:
		return claim.Held, holder, nil
	}
}

func (f *fakeClaims) Release(c claim.Claim) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held[keyOf(c)].Nonce == c.Nonce {
		delete(f.held, keyOf(c))
	}
}

func (f *fakeClaims) Begin(claim.Claim) {}

func (f *fakeClaims) End(c claim.Claim, completed bool, response *dispatch.StoredResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responses[keyOf(c)] = response
	f.states[keyOf(c)] = lo.Ternary(completed, dispatch.HolderCompleted, dispatch.HolderUnknown)
	if response != nil {
		f.states[keyOf(c)] = dispatch.HolderStored
	}
}

func (f *fakeClaims) Find(_ context.Context, c claim.Claim) (dispatch.StoredResponse, dispatch.HolderState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.FromPtr(f.responses[keyOf(c)]), f.states[keyOf(c)]
}

// callerSink is a Sink that records what the caller receives.
type callerSink struct {
	mu     sync.Mutex
	status int
	kind   string
	body   strings.Builder
	// leaveAfter is the number of writes at which the caller disconnects; zero means never.
	leaveAfter int
	writes     int
	// onWrite is called at each write, if set.
	onWrite func()
}

func (r *callerSink) Begin(status int, contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	Expect(r.status).To(BeZero(), "Begin called twice")
	r.status, r.kind = status, contentType
}

func (r *callerSink) Write(p []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	if r.onWrite != nil {
		r.onWrite()
	}
	if r.leaveAfter > 0 && r.writes >= r.leaveAfter {
		return io.ErrClosedPipe
	}
	r.body.Write(p)
	return nil
}

func (r *callerSink) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.String()
}

// parsedStream is a streamed response as parsed by its caller.
type parsedStream struct {
	text   string
	roles  []string
	ids    []string
	done   bool
	finish string
	usage  *endpoint.Usage
	errors []string
}

func (r *callerSink) stream() parsedStream {
	var s parsedStream
	for event := range strings.SplitSeq(strings.TrimSuffix(r.String(), "\n\n"), "\n\n") {
		if data, ok := strings.CutPrefix(event, "event: error\ndata: "); ok {
			s.errors = append(s.errors, data)
			continue
		}
		data, ok := strings.CutPrefix(event, "data: ")
		Expect(ok).To(BeTrue(), "event %q", event)
		Expect(s.done).To(BeFalse(), "event after [DONE]")
		if data == "[DONE]" {
			s.done = true
			continue
		}
		var c struct {
			ID      string
			Usage   *endpoint.Usage
			Choices []struct {
				Delta        struct{ Role, Content string }
				Text         string
				FinishReason string `json:"finish_reason"`
			}
		}
		Expect(json.Unmarshal([]byte(data), &c)).To(Succeed())
		s.ids = append(s.ids, c.ID)
		if c.Usage != nil {
			s.usage = c.Usage
		}
		for _, one := range c.Choices {
			s.text += one.Delta.Content + one.Text
			s.finish += one.FinishReason
			if one.Delta.Role != "" {
				s.roles = append(s.roles, one.Delta.Role)
			}
		}
	}
	return s
}

// fixture is a dispatcher with stand-in engines on loopback.
type fixture struct {
	engines    []*engine.Server
	broker     *fakeBroker
	claims     *fakeClaims
	quarantine *quarantine.Register
	options    dispatch.Options
	nextID     int
	mu         sync.Mutex
}

type standin interface {
	Serve(ctx context.Context, ln net.Listener) error
}

func serve(name string, s standin) catalog.Endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, ln)
	}()
	DeferCleanup(func() { stop(); <-done })
	return catalog.Endpoint{Name: name, Service: "models", Address: ln.Addr().String()}
}

func newFixture(count int, options engine.Options) *fixture {
	f := &fixture{
		broker:     &fakeBroker{busy: map[string]int{}, isolated: map[string]bool{}, granted: map[string]routing.PermitRequest{}, reports: map[string][]routing.Report{}, progress: map[string]int{}},
		claims:     &fakeClaims{held: map[string]claim.Claim{}, states: map[string]dispatch.HolderState{}, responses: map[string]*dispatch.StoredResponse{}},
		quarantine: quarantine.New(quarantine.Config{}),
	}
	for i := range count {
		e := engine.New(options)
		f.engines = append(f.engines, e)
		f.broker.endpoints = append(f.broker.endpoints, serve(fmt.Sprintf("e%d", i), e))
	}
	client := endpoint.NewClient(endpoint.Options{})
	DeferCleanup(client.Close)
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	f.options = dispatch.Options{
		Daemon: "d1", Incarnation: "i1", Broker: f.broker, Claims: f.claims, ResponseStore: f.claims, EndpointClient: client,
		RetryPolicy: retry.NewBudget(retry.Config{Burst: 1000, HedgeBurst: 1000}),
		Quarantine:  f.quarantine, SilenceTimeout: waitTimeout, Logger: logger,
	}
	DeferCleanup(func() {
		Eventually(f.broker.grantsWithoutOneReport).WithTimeout(10*time.Second).Should(BeEmpty(), "every grant must have exactly one report")
	})
	return f
}

// newServiceFixture has one plain service in place of engines.
func newServiceFixture(options service.Options) (*fixture, *service.Server) {
	f := newFixture(0, engine.Options{})
	s := service.New(options)
	f.broker.endpoints = []catalog.Endpoint{serve("s0", s)}
	return f, s
}

func (f *fixture) request(prompt string, change func(*dispatch.Request)) dispatch.Request {
	f.mu.Lock()
	f.nextID++
	id := fmt.Sprintf("r%d", f.nextID)
	f.mu.Unlock()
	r := dispatch.Request{
		ID: id, Workspace: catalog.Workspace{Name: "w", Weight: 1}, Profile: catalog.Profile{Name: "p", Class: "c", Tier: 1},
		Service: catalog.Service{Name: "models", Kind: catalog.Engine}, API: dispatch.ChatCompletions, Model: "standin",
		Stream: true, Arrived: time.Now(),
		Body: []byte(`{"model":"standin","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"` + prompt + `"}]}`),
	}
	if change != nil {
		change(&r)
	}
	return r
}

func (f *fixture) run(ctx context.Context, r dispatch.Request) (dispatch.Result, *callerSink) {
	sink := &callerSink{}
	return dispatch.New(f.options).Run(ctx, r, sink), sink
}

func (f *fixture) chatResponse(prompt string, limit int) string {
	return f.engines[0].Options().ChatResponse([]engine.Message{{Role: "user", Content: prompt}}, limit)
}

// unreachable lists the endpoints that can not be reached.
func (f *fixture) unreachable() []string {
	client := endpoint.NewClient(endpoint.Options{})
	defer client.Close()
	return lo.FilterMap(f.broker.endpoints, func(e catalog.Endpoint, _ int) (string, bool) {
		_, err := client.Load(context.Background(), e)
		return e.Name, err != nil
	})
}

// setFaults sets the same faults on every engine.
func (f *fixture) setFaults(faults engine.Faults) {
	for _, e := range f.engines {
		e.SetFaults(faults)
	}
}

// shortenSilence sets a short silence timeout, so that specs with silent endpoints end soon.
func (f *fixture) shortenSilence(silent bool) {
	if silent {
		f.options.SilenceTimeout = 200 * time.Millisecond
	}
}

// acceptedRuns returns the calls that the engines accepted.
func (f *fixture) acceptedRuns() []engine.Run {
	runs := lo.FlatMap(f.engines, func(e *engine.Server, _ int) []engine.Run { return e.Runs() })
	return lo.Reject(runs, func(r engine.Run, _ int) bool { return r.Refused })
}
