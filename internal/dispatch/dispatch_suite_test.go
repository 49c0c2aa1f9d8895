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

// fakeBroker grants the least busy endpoint that the ask does not avoid; suspects run alone.
type fakeBroker struct {
	mu         sync.Mutex
	endpoints  []catalog.Endpoint
	busy       map[string]int
	alone      map[string]bool
	granted    map[string]routing.PermitRequest
	reports    map[string][]routing.Report
	hedgeAfter time.Duration
	progress   map[string]int
}

func (b *fakeBroker) Progress(askID string, outputTokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.progress[askID] = outputTokens
}

const acquirePoll = time.Millisecond

func (b *fakeBroker) Acquire(ctx context.Context, ask routing.PermitRequest) (routing.Grant, error) {
	for {
		if grant, ok := b.try(ask); ok {
			return grant, nil
		}
		select {
		case <-ctx.Done():
			return routing.Grant{}, ctx.Err()
		case <-time.After(acquirePoll):
		}
	}
}

func (b *fakeBroker) try(ask routing.PermitRequest) (routing.Grant, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fits := lo.Filter(b.endpoints, func(e catalog.Endpoint, _ int) bool {
		return !b.alone[e.Name] && (!ask.Suspect || b.busy[e.Name] == 0)
	})
	wanted := lo.Reject(fits, func(e catalog.Endpoint, _ int) bool { return lo.Contains(ask.Avoid, e.Name) })
	if len(wanted) == 0 && len(ask.Avoid) >= len(b.endpoints) {
		wanted = fits
	}
	if len(wanted) == 0 {
		return routing.Grant{}, false
	}
	e := lo.MinBy(wanted, func(x, y catalog.Endpoint) bool { return b.busy[x.Name] < b.busy[y.Name] })
	b.busy[e.Name]++
	b.alone[e.Name] = ask.Suspect
	Expect(b.granted).NotTo(HaveKey(ask.ID))
	b.granted[ask.ID] = ask
	return routing.Grant{AttemptID: ask.ID, Endpoint: e, Priority: int(ask.Tier), HedgeAfter: b.hedgeAfter}, true
}

func (b *fakeBroker) Release(r routing.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[r.AttemptID] = append(b.reports[r.AttemptID], r)
	b.busy[r.Endpoint]--
	if b.granted[r.AttemptID].Suspect {
		b.alone[r.Endpoint] = false
	}
}

// unbalanced lists the grants that do not have exactly one report.
func (b *fakeBroker) unbalanced() []string {
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

// fakeClaims is a claim log in memory with the answers beside it.
type fakeClaims struct {
	mu      sync.Mutex
	held    map[string]claim.Claim
	ended   map[string]dispatch.HolderState
	answers map[string]*dispatch.StoredResponse
	down    error
	nonce   uint64
	// expired makes every granted claim too old to be dispatched.
	expired bool
}

func keyOf(c claim.Claim) string { return c.Workspace + "/" + c.Key }

func (f *fakeClaims) Claim(_ context.Context, c claim.Claim) (claim.Outcome, claim.Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down != nil {
		return "", claim.Claim{}, f.down
	}
	holder, ok := f.held[keyOf(c)]
	switch {
	case !ok:
		f.nonce++
		c.Nonce = f.nonce
		f.held[keyOf(c)] = c
		f.ended[keyOf(c)] = dispatch.HolderRunning
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

func (f *fakeClaims) End(c claim.Claim, completed bool, answer *dispatch.StoredResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[keyOf(c)] = answer
	f.ended[keyOf(c)] = lo.Ternary(completed, dispatch.HolderCompleted, dispatch.HolderUnknown)
	if answer != nil {
		f.ended[keyOf(c)] = dispatch.HolderStored
	}
}

func (f *fakeClaims) Find(_ context.Context, c claim.Claim) (dispatch.StoredResponse, dispatch.HolderState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.FromPtr(f.answers[keyOf(c)]), f.ended[keyOf(c)]
}

// recorder is a sink that keeps what the caller sees.
type recorder struct {
	mu     sync.Mutex
	status int
	kind   string
	body   strings.Builder
	// leaveAfter makes the caller leave at that many writes; zero means never.
	leaveAfter int
	writes     int
	// onWrite is called at each write, if set.
	onWrite func()
}

func (r *recorder) Begin(status int, contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	Expect(r.status).To(BeZero(), "begun twice")
	r.status, r.kind = status, contentType
}

func (r *recorder) Write(p []byte) error {
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

func (r *recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.String()
}

// seen is a stream as its caller reads it.
type seen struct {
	text   string
	ids    []string
	done   bool
	finish string
	usage  *endpoint.Usage
	errors []string
}

func (r *recorder) stream() seen {
	var s seen
	for event := range strings.SplitSeq(strings.TrimSuffix(r.String(), "\n\n"), "\n\n") {
		if data, ok := strings.CutPrefix(event, "event: error\ndata: "); ok {
			s.errors = append(s.errors, data)
			continue
		}
		data, ok := strings.CutPrefix(event, "data: ")
		Expect(ok).To(BeTrue(), "event %q", event)
		Expect(s.done).To(BeFalse(), "went on after its end mark")
		if data == "[DONE]" {
			s.done = true
			continue
		}
		var c struct {
			ID      string
			Usage   *endpoint.Usage
			Choices []struct {
				Delta        struct{ Content string }
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
		}
	}
	return s
}

// bed is a dispatcher with stand-in engines on loopback.
type bed struct {
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

func newBed(count int, options engine.Options) *bed {
	b := &bed{
		broker:     &fakeBroker{busy: map[string]int{}, alone: map[string]bool{}, granted: map[string]routing.PermitRequest{}, reports: map[string][]routing.Report{}, progress: map[string]int{}},
		claims:     &fakeClaims{held: map[string]claim.Claim{}, ended: map[string]dispatch.HolderState{}, answers: map[string]*dispatch.StoredResponse{}},
		quarantine: quarantine.New(quarantine.Config{}),
	}
	for i := range count {
		e := engine.New(options)
		b.engines = append(b.engines, e)
		b.broker.endpoints = append(b.broker.endpoints, serve(fmt.Sprintf("e%d", i), e))
	}
	client := endpoint.NewClient(endpoint.Options{})
	DeferCleanup(client.Close)
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	b.options = dispatch.Options{
		Daemon: "d1", Incarnation: "i1", Broker: b.broker, Claims: b.claims, ResponseStore: b.claims, EndpointClient: client,
		RetryPolicy: retry.NewBudget(retry.Config{Burst: 1000, HedgeBurst: 1000}),
		Quarantine:  b.quarantine, SilenceTimeout: limit, Logger: logger,
	}
	DeferCleanup(func() {
		Eventually(b.broker.unbalanced).WithTimeout(10*time.Second).Should(BeEmpty(), "each grant has one report")
	})
	return b
}

// newServiceBed has one plain service in place of engines.
func newServiceBed(options service.Options) (*bed, *service.Server) {
	b := newBed(0, engine.Options{})
	s := service.New(options)
	b.broker.endpoints = []catalog.Endpoint{serve("s0", s)}
	return b, s
}

func (b *bed) request(prompt string, change func(*dispatch.Request)) dispatch.Request {
	b.mu.Lock()
	b.nextID++
	id := fmt.Sprintf("r%d", b.nextID)
	b.mu.Unlock()
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

func (b *bed) run(ctx context.Context, r dispatch.Request) (dispatch.Result, *recorder) {
	sink := &recorder{}
	return dispatch.New(b.options).Run(ctx, r, sink), sink
}

func (b *bed) chatAnswer(prompt string, limit int) string {
	return b.engines[0].Options().ChatAnswer([]engine.Message{{Role: "user", Content: prompt}}, limit)
}

// down lists the endpoints that can not be reached.
func (b *bed) down() []string {
	client := endpoint.NewClient(endpoint.Options{})
	defer client.Close()
	return lo.FilterMap(b.broker.endpoints, func(e catalog.Endpoint, _ int) (string, bool) {
		_, err := client.Load(context.Background(), e)
		return e.Name, err != nil
	})
}

// setAll gives every engine the same faults.
func (b *bed) setAll(f engine.Faults) {
	for _, e := range b.engines {
		e.SetFaults(f)
	}
}

// shorten sets a short silence timeout for faults that need it to be seen.
func (b *bed) shorten(silent bool) {
	if silent {
		b.options.SilenceTimeout = 200 * time.Millisecond
	}
}

// runs returns what all engines took and did not refuse.
func (b *bed) runs() []engine.Run {
	all := lo.FlatMap(b.engines, func(e *engine.Server, _ int) []engine.Run { return e.Runs() })
	return lo.Reject(all, func(r engine.Run, _ int) bool { return r.Refused })
}
