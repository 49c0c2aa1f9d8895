package tunnel

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/samber/lo"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/reach"
)

// Errors of connections that could not be opened.
var (
	// ErrDown means that the endpoint accepts no connections, as far as anybody can tell.
	ErrDown = errors.New("the endpoint accepts no connection")
	// ErrUnconfirmed means that nobody could tell whether the endpoint is down: this gateway may be
	// cut off.
	ErrUnconfirmed = errors.New("neither this gateway nor a carrier reaches the service")
)

// proberTick is the interval at which paths are checked for due probes while one is not whole.
const proberTick = 50 * time.Millisecond

// ConnectorOptions configure a Connector; all fields are required.
type ConnectorOptions struct {
	// VM and DataCentre are those of this gateway.
	VM, DataCentre string
	// Direct opens a direct connection.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// DialPeer opens a connection to a peer, on whose Port carriers listen.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	Port     int
	// Candidates returns the peers that may carry connections.
	Candidates func() []reach.Candidate
	// Leaving reports whether a peer drains.
	Leaving func(address string) bool
	// Find returns the listed endpoint with this address, and Targets all of them.
	Find    func(address string) (reach.Target, bool)
	Targets func() []reach.Target
	// Crashed reports whether an endpoint was found to have crashed lately, by any gateway.
	Crashed func(target reach.Target) bool
	Paths   *reach.Paths
	// Keep receives a direct connection that no request waits for.
	Keep func(address string, conn net.Conn)
	// Abandon closes the idle connections to an address.
	Abandon func(address string)
	Log     *logrus.Logger
	Scope   tally.Scope
}

// Connector opens connections to endpoints, directly or through carriers. It is safe for
// concurrent use.
type Connector struct {
	ConnectorOptions
	carriers *reach.Carriers
	client   client
}

// NewConnector returns a connector.
func NewConnector(options ConnectorOptions) *Connector {
	carriers := reach.NewCarriers(options.DataCentre)
	return &Connector{ConnectorOptions: options, carriers: carriers, client: client{
		vm: options.VM, dial: options.DialPeer, port: options.Port, leaving: options.Leaving, carriers: carriers,
	}}
}

// Carried returns the number of this gateway's connections that carriers carry.
func (c *Connector) Carried() int { return c.carriers.Open() }

// result is what one part of a race has led to.
type result struct {
	direct    bool
	conn      net.Conn
	err       error
	carrier   string
	verdict   reach.Verdict
	reference *reach.Reference
}

// Dial opens a connection to an endpoint's address for the request with this id. Its error wraps
// ErrDown or ErrUnconfirmed, unless the address is not listed.
func (c *Connector) Dial(ctx context.Context, address, requestID string) (net.Conn, error) {
	target, listed := c.Find(address)
	if !listed {
		return c.dialDirect(ctx, address, reach.DirectTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, reach.ConnectTimeout)
	defer cancel()
	candidates := c.Candidates()
	run := &run{c: c, ctx: ctx, target: target, requestID: requestID, candidates: candidates, results: make(chan result, 1)}
	return run.play(reach.NewRace(time.Now(), c.Paths.State(address), len(candidates)))
}

// dialDirect opens a direct connection, and records whether the path is whole; idle connections over
// one that has ceased to be are closed. The caller's leaving says nothing about the path, so that the
// connection is opened nevertheless, within timeout.
func (c *Connector) dialDirect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	conn, err := c.Direct(ctx, address)
	if err != nil {
		if c.Paths.DirectFailed(time.Now(), address) {
			c.Abandon(address)
		}
		return nil, err
	}
	c.Paths.DirectConnected(time.Now(), address)
	return conn, nil
}

// reference connects to other endpoints.
func (c *Connector) reference(ctx context.Context, target reach.Target) reach.Reference {
	references := reach.References(target, lo.Map(c.Targets(), func(t reach.Target, _ int) reach.Other {
		return reach.Other{
			Target: t, State: c.Paths.State(t.Address), Down: c.Paths.IsDown(t.Address),
			DownBefore: c.Paths.DownBefore(time.Now(), t.Address, target.Address), Crashed: c.Crashed(t),
		}
	}), func(others []reach.Other) []reach.Other { return lo.Samples(others, len(others)) })
	reached := make(chan bool, len(references))
	for _, other := range references {
		go func() {
			conn, err := c.dialDirect(ctx, other.Address, carrierDialTimeout)
			if err == nil {
				c.Keep(other.Address, conn)
			}
			reached <- err == nil
		}()
	}
	for range references {
		if <-reached {
			return reach.ReferenceReached
		}
	}
	return reach.JudgeReferences(references)
}

// run is the input and output of one race.
type run struct {
	c          *Connector
	ctx        context.Context
	target     reach.Target
	requestID  string
	candidates []reach.Candidate
	tried      []string
	results    chan result
	// pending counts the results that are to come.
	pending int
	lastErr error
}

// play takes the steps of the race until a connection is open or it is over.
func (r *run) play(race *reach.Race) (net.Conn, error) {
	for {
		step := race.Next(time.Now())
		if step.Over {
			r.abandonRest(false)
			return nil, r.failure(race)
		}
		if r.start(step) {
			continue
		}
		var wake <-chan time.Time
		if step.Wait > 0 {
			wake = time.After(step.Wait)
		}
		select {
		case <-wake:
		case <-r.ctx.Done():
			r.abandonRest(false)
			return nil, oops.Wrapf(errors.Join(ErrUnconfirmed, r.ctx.Err(), r.lastErr), "connection to %s", r.target.Address)
		case got := <-r.results:
			r.pending--
			if got.conn != nil {
				r.abandonRest(!got.direct)
				return got.conn, nil
			}
			r.record(race, got)
		}
	}
}

// start begins what a step asks for, and reports whether there was any.
func (r *run) start(step reach.Step) bool {
	var part func() result
	switch {
	case step.Direct:
		part = func() result {
			conn, err := r.c.dialDirect(r.ctx, r.target.Address, reach.DirectTimeout)
			return result{direct: true, conn: conn, err: err}
		}
	case step.Carrier:
		part = r.askCarrier()
	case step.Reference:
		part = func() result {
			reference := r.c.reference(r.ctx, r.target)
			return result{reference: &reference}
		}
	default:
		return false
	}
	r.pending++
	go func() { r.results <- part() }()
	return true
}

// askCarrier chooses a carrier and returns the function that asks it.
func (r *run) askCarrier() func() result {
	address, ok := r.c.carriers.Choose(time.Now(), r.target, r.candidates, r.tried, rand.IntN)
	if !ok {
		return func() result { return result{verdict: reach.Lost} }
	}
	r.tried = append(r.tried, address)
	return func() result {
		conn, verdict, err := r.c.client.open(r.ctx, address, r.target, r.requestID)
		r.c.carriers.Answered(time.Now(), address, r.target.Service, verdict)
		r.c.Scope.Tagged(map[string]string{"verdict": string(verdict)}).Counter("carriers_asked").Inc(1)
		if conn == nil {
			return result{carrier: address, verdict: verdict, err: err}
		}
		r.c.carriers.Opened(address)
		return result{carrier: address, verdict: verdict, conn: conn}
	}
}

// record passes a result without a connection to the race.
func (r *run) record(race *reach.Race, got result) {
	switch {
	case got.reference != nil:
		race.ReferenceDone(*got.reference)
	case got.direct:
		race.DirectFailed()
		r.lastErr = got.err
	default:
		race.CarrierFailed(got.verdict)
		r.lastErr = errors.Join(r.lastErr, got.err)
	}
}

// failure returns the error of a race without a connection.
func (r *run) failure(race *reach.Race) error {
	verdict := race.Verdict()
	r.c.Log.WithFields(logrus.Fields{
		"event": "unreached", "request_id": r.requestID, "address": r.target.Address, "service": r.target.Service, "verdict": verdict,
		"carriers": r.tried, "error": r.lastErr,
	}).Info("an endpoint was not reached")
	reason := ErrUnconfirmed
	if verdict == reach.Down {
		reason = ErrDown
		r.c.Paths.FoundDown(r.target.Address)
	}
	return oops.Wrapf(errors.Join(reason, r.lastErr), "connection to %s", r.target.Address)
}

// abandonRest closes the connections that are still being opened when they are open. If a carrier
// has connected, a direct connection that fails shows that the path is cut.
func (r *run) abandonRest(carried bool) {
	address := r.target.Address
	cutFound := func() {
		if carried && r.c.Paths.Carried(time.Now(), address) {
			r.c.Abandon(address)
		}
	}
	cutFound()
	pending := r.pending
	go func() {
		for range pending {
			switch got := <-r.results; {
			case got.conn != nil && got.direct:
				r.c.Keep(address, got.conn)
			case got.conn != nil:
				_ = got.conn.Close()
			case got.direct:
				cutFound()
			}
		}
	}()
}

// Run probes the paths that are not whole, until ctx ends.
func (c *Connector) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Paths.Broken():
		}
		for c.Paths.NeedsProbes() && ctx.Err() == nil {
			c.carriers.Retain(c.Candidates())
			probes, checks := c.Paths.Due(time.Now(), lo.Map(c.Targets(), func(t reach.Target, _ int) string { return t.Address }))
			for _, address := range probes {
				go c.probe(ctx, address)
			}
			for _, address := range checks {
				go c.check(ctx, address)
			}
			time.Sleep(proberTick)
		}
	}
}

// probe connects directly. Idle connections through carriers are of no use once the path is whole.
func (c *Connector) probe(ctx context.Context, address string) {
	before := c.Paths.State(address)
	conn, err := c.dialDirect(ctx, address, reach.DirectTimeout)
	if err != nil {
		return // It is recorded.
	}
	if before == reach.Cut && c.Paths.State(address) == reach.Whole {
		c.Abandon(address)
	}
	c.Keep(address, conn)
}

// check connects directly and through carriers.
func (c *Connector) check(ctx context.Context, address string) {
	if conn, err := c.Dial(ctx, address, ""); err == nil {
		c.Keep(address, conn)
	}
}
