package duty

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// leaseCollection and leaseName locate the lease object.
	leaseCollection = "duties"
	leaseName       = "lease"
	// holderRateShare is the part of the platform's rate that a holder uses. Two holders in the same
	// second stay below it.
	holderRateShare = 0.4
	// holderBurst is the number of calls that may be sent at once.
	holderBurst = 2
	// readJitter is the part by which the time between two reads varies, so that candidates don't read
	// and write all at once.
	readJitter = 0.2
	// maxPause bounds the time until a change of this gateway's role or a planned stop is noticed.
	maxPause = 100 * time.Millisecond
)

// Store is the part of the platform's store that holds the lease.
type Store interface {
	Get(ctx context.Context, collection, name string) (platform.Object, error)
	Create(ctx context.Context, o platform.Object) (platform.Object, error)
	Update(ctx context.Context, o platform.Object) (platform.Object, error)
	// Era returns the highest era of a response so far. After a call it is that call's, since a response
	// of a lower one is an error.
	Era() int64
}

// Options configure an Agent. All are required.
type Options struct {
	Store Store
	// VM is the ID of this VM.
	VM string
	// Lease is the time for which a holder keeps the duties without a renewal.
	Lease time.Duration
	// Address is the IP address and port of the platform's API for the calls.
	Address string
	// CallsPerSecond is what that API takes from all gateways together.
	CallsPerSecond float64
	// Kinds are the duties, all of which the lease covers.
	Kinds []adapter.DutyKind
	// HolderHeader and EpochHeader are the header fields of a call.
	HolderHeader, EpochHeader string
	// Candidate reports whether this gateway competes for the lease.
	Candidate func() bool
	// Clock returns the time since the machine started, including time spent suspended.
	Clock func() time.Duration
	Log   *logrus.Logger
	Scope tally.Scope
}

// Agent is this gateway's part in the duties: it competes for the one lease of all duties and makes the
// holder's calls. Run must be called.
type Agent struct {
	Options
	limiter *rate.Limiter
	// lines bounds the lines on the store.
	lines telemetry.LineLimit
	// reported is the epoch that the log last named, or zero if it named the loss of the lease.
	reported int64

	mu       sync.Mutex
	election *election
	gate     gate
	// cancels ends the calls in progress. ended is closed and replaced when one has ended.
	cancels map[int]context.CancelFunc
	nextID  int
	ended   chan struct{}
	// wake ends a pause of Run, and left is closed when the lease was given up at a planned stop.
	wake, left chan struct{}
	leave      sync.Once
}

var (
	_ Lease  = (*Agent)(nil)
	_ Caller = (*Agent)(nil)
)

// New returns an agent that doesn't hold the lease.
func New(o Options) *Agent {
	interval := float64(o.Lease / readDivisor)
	readDelay := func() time.Duration { return time.Duration(interval * (1 - readJitter*rand.Float64())) }
	perSecond := o.CallsPerSecond * holderRateShare
	return &Agent{
		Options: o, limiter: rate.NewLimiter(rate.Limit(perSecond), holderBurst),
		election: newElection(o.Clock(), o.Lease, o.VM, crand.Text(), readDelay),
		cancels:  map[int]context.CancelFunc{}, ended: make(chan struct{}), wake: make(chan struct{}, 1), left: make(chan struct{}),
	}
}

// Held implements Lease. The lease ends by Clock, whatever now's clock says.
func (a *Agent) Held(time.Time) (Grant, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.usable(a.Clock())
	if c == nil {
		return Grant{}, false
	}
	return Grant{Holder: a.VM, Epoch: c.epoch}, true
}

// usable returns the lease if new calls may be made with it. The caller holds the lock.
func (a *Agent) usable(now time.Duration) *claim {
	if a.election.resigning(now) {
		return nil
	}
	return a.election.holding(now)
}

// Run competes for the lease and renews it until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		candidate := a.Candidate()
		a.mu.Lock()
		next := a.election.next(a.Clock(), candidate, a.gate.ongoing > 0)
		left := a.election.leaving && a.election.held == nil
		epoch, released := epochOfClaim(a.election.held), a.election.released
		a.mu.Unlock()
		a.reportHolder(epoch, released)
		if left {
			a.leave.Do(func() { close(a.left) })
		}
		if next.step == stepWait {
			a.pause(ctx, min(maxPause, next.at-a.Clock()))
			continue
		}
		a.perform(ctx, next)
	}
}

func (a *Agent) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.wake:
	case <-timer.C:
	}
}

// Resign gives the lease up permanently: no call starts any more, and when those in progress have ended,
// another gateway may take the lease at once. It returns when that is done or ctx ends.
func (a *Agent) Resign(ctx context.Context) {
	a.mu.Lock()
	a.election.leaving = true
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case <-a.left:
	case <-ctx.Done():
	}
}

// perform makes one call to the store and takes its outcome in.
func (a *Agent) perform(ctx context.Context, next action) {
	ctx = platform.WithCallTimeout(ctx, a.election.storeTimeout())
	r := result{sent: a.Clock()}
	var err error
	switch next.step {
	case stepRead:
		r, err = a.read(ctx)
	case stepPlace:
		r.version, err = a.store(ctx, a.Store.Create, next)
	case stepAcquire, stepRenew, stepRelease:
		r.version, err = a.store(ctx, a.Store.Update, next)
	case stepWait:
	}
	r.era, r.reason, r.answered = a.Store.Era(), platform.ReasonOf(err), a.Clock()
	a.mu.Lock()
	a.election.apply(next, r)
	unusable := a.election.unusable
	a.mu.Unlock()
	a.report(next, r, unusable, err)
}

// read reads the lease object. It reads again if the store's era has changed meanwhile, as the version may
// then be of either era.
func (a *Agent) read(ctx context.Context) (result, error) {
	for {
		r := result{sent: a.Clock()}
		era := a.Store.Era()
		o, err := a.Store.Get(ctx, leaseCollection, leaseName)
		if a.Store.Era() != era && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return r, err
		}
		if json.Unmarshal(o.Data, &r.record) != nil {
			r.record = record{} // Whatever it is, it is replaced when it has not changed for the lease time.
		}
		r.version = o.Version
		return r, nil
	}
}

func (a *Agent) store(ctx context.Context, write func(context.Context, platform.Object) (platform.Object, error), next action) (int64, error) {
	data, err := json.Marshal(next.record)
	if err != nil {
		return 0, err
	}
	o := platform.Object{Collection: leaseCollection, Name: leaseName, Data: data}
	if next.step != stepPlace {
		o.Version = next.base.version
	}
	stored, err := write(ctx, o)
	return stored.Version, err
}

// stepNames are the steps in log lines and metrics.
var stepNames = map[step]string{stepRead: "read", stepPlace: "create", stepAcquire: "acquire", stepRenew: "renew", stepRelease: "release"}

// report counts a call to the store and logs one that has failed.
func (a *Agent) report(next action, r result, unusable bool, err error) {
	outcome := lo.CoalesceOrEmpty(string(r.reason), "ok")
	a.Scope.Tagged(map[string]string{"step": stepNames[next.step], "outcome": outcome}).Counter("store_calls").Inc(1)
	if lo.Contains([]platform.Reason{platform.NotFound, platform.Conflict, platform.Exists}, r.reason) {
		return // Expected: the object doesn't exist yet, or another gateway was faster.
	}
	if next.step == stepRelease {
		a.Log.WithFields(logrus.Fields{"event": "duty_released", "outcome": outcome}).Info("this gateway has given the duties up")
	}
	if err != nil {
		a.warn("duty_store_failed", "a call to the store for the lease of the duties failed", logrus.Fields{"step": stepNames[next.step], "error": err})
	}
	if unusable {
		a.warn("duty_epoch_unusable", "the store's era or version is too great for an epoch; the duties are not held", logrus.Fields{"era": r.era, "version": r.version})
	}
}

// warn writes a line of which there may be many.
func (a *Agent) warn(event, text string, fields logrus.Fields) {
	if withheld, allowed := a.lines.Allow(time.Now(), event); allowed {
		a.Log.WithFields(fields).WithFields(logrus.Fields{"event": event, "withheld": withheld}).Warn(text)
	}
}

// reportHolder logs whether this gateway holds the lease, if that has changed.
func (a *Agent) reportHolder(epoch int64, resigned bool) {
	if epoch == a.reported {
		return
	}
	fields := logrus.Fields{"epoch": epoch, "previous_epoch": a.reported}
	a.reported = epoch
	a.Scope.Gauge("held").Update(float64(min(1, epoch)))
	switch {
	case epoch != 0:
		a.Scope.Counter("acquired").Inc(1)
		a.Log.WithFields(fields).WithField("event", "duty_acquired").Info("this gateway holds the duties")
	case !resigned:
		a.Scope.Counter("lost").Inc(1)
		a.Log.WithFields(fields).WithField("event", "duty_lost").Warn("the lease of the duties was not renewed in time or is another gateway's; this gateway makes no further calls")
	}
}

func epochOfClaim(c *claim) int64 {
	if c == nil {
		return 0
	}
	return c.epoch
}

// Call implements Caller. It waits for the holder's rate limit.
func (a *Agent) Call(ctx context.Context, call adapter.DutyCall) error {
	err := a.call(ctx, call)
	var refused *RefusedError
	outcome := "ok"
	switch {
	case errors.As(err, &refused):
		outcome = strconv.Itoa(refused.Status)
	case errors.Is(err, ErrNotHeld):
		outcome = "not_held"
	case err != nil:
		outcome = "failed"
	}
	a.Scope.Tagged(map[string]string{"kind": string(call.Kind), "outcome": outcome}).Counter("calls").Inc(1)
	return err
}

func (a *Agent) call(ctx context.Context, call adapter.DutyCall) error {
	if !slices.Contains(a.Kinds, call.Kind) {
		return oops.Errorf("the settings don't name the duty %s", call.Kind)
	}
	if _, held := a.Held(time.Time{}); !held {
		return ErrNotHeld
	}
	if err := a.limiter.Wait(ctx); err != nil {
		return oops.Wrapf(err, "rate limit of the duties' calls")
	}
	timeout := a.election.callTimeout()
	callCtx, grant, deadline, end, err := a.begin(ctx, timeout)
	if err != nil {
		return err
	}
	defer end()
	request, err := http.NewRequestWithContext(callCtx, http.MethodPost, "http://"+a.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(a.HolderHeader, grant.Holder)
	request.Header.Set(a.EpochHeader, strconv.FormatInt(grant.Epoch, 10))
	mayWrite := func() bool { return mayWrite(a.Clock(), deadline) }
	status, err := exchange(callCtx, a.Address, timeout, request, mayWrite, func() bool { return !mayWrite() })
	switch {
	case err != nil:
		return err
	case status >= http.StatusInternalServerError:
		return oops.Errorf("the platform answered the call with status %d", status)
	case status >= http.StatusMultipleChoices:
		return &RefusedError{Status: status}
	}
	return nil
}

// begin starts a call as the holder. Calls with an earlier epoch are ended first.
func (a *Agent) begin(ctx context.Context, timeout time.Duration) (callCtx context.Context, grant Grant, deadline time.Duration, end func(), err error) {
	for {
		a.mu.Lock()
		now := a.Clock()
		held := a.usable(now)
		deadline, blocked, ok := a.gate.begin(now, held, timeout)
		if !ok {
			a.mu.Unlock()
			return nil, Grant{}, 0, nil, ErrNotHeld
		}
		if !blocked {
			callCtx, cancel := context.WithCancel(ctx)
			a.nextID++
			id := a.nextID
			a.cancels[id] = cancel
			a.mu.Unlock()
			return callCtx, Grant{Holder: a.VM, Epoch: held.epoch}, deadline, func() { a.end(id) }, nil
		}
		for _, cancel := range a.cancels {
			cancel()
		}
		ended := a.ended
		a.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, Grant{}, 0, nil, ctx.Err()
		}
	}
}

func (a *Agent) end(id int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancels[id]()
	delete(a.cancels, id)
	a.gate.end()
	close(a.ended)
	a.ended = make(chan struct{})
}
