package claim

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/platform"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

type opKind int

const (
	opClaim opKind = iota
	opRelease
	// opFailedClaim returned an error to its caller, but is in the log.
	opFailedClaim
)

type input struct {
	kind            opKind
	key, id, digest string
}

type output struct {
	outcome Outcome
	holder  string
}

// keyState is the state of one key: the request that holds it, or none.
type keyState struct{ id, digest string }

// model specifies the log's behaviour for one key.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(input).key
			keys[key] = append(keys[key], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range keys {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return keyState{} },
	Step: func(state, in, out any) (bool, any) { return stepModel(state.(keyState), in.(input), out.(output)) },
}

func stepModel(h keyState, in input, out output) (bool, any) {
	switch {
	case in.kind == opRelease:
		return h.id == in.id, keyState{}
	case in.kind == opFailedClaim || out.outcome == Granted:
		return h.id == "", keyState{id: in.id, digest: in.digest}
	case out.outcome == Held:
		return h.id == out.holder && h.digest == in.digest, h
	case out.outcome == Mismatched:
		return h.id == out.holder && h.digest != in.digest, h
	default:
		return false, h
	}
}

// recorder collects a history from several clients.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	history []porcupine.Operation
}

func (r *recorder) now() int64 { return int64(time.Since(r.started)) }

func (r *recorder) add(client int, in input, call int64, out output, returned int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: returned})
}

// claimOnce makes one claim and releases about half of those granted. It returns false
// after an error.
func (r *recorder) claimOnce(client int, l *Log, random *rand.Rand, in input) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(60))*time.Millisecond)
	defer cancel()
	call := r.now()
	outcome, holder, err := l.Claim(ctx, Claim{Workspace: "w", Key: in.key, Digest: in.digest, RequestID: in.id})
	if err != nil {
		in.kind = opFailedClaim
		r.add(client, in, call, output{}, math.MaxInt64)
		in.kind = opRelease
		r.add(client, in, call, output{}, math.MaxInt64)
		time.Sleep(time.Duration(1+random.IntN(5)) * time.Millisecond)
		return false
	}
	r.add(client, in, call, output{outcome: outcome, holder: holder.RequestID}, r.now())
	if outcome == Granted && random.IntN(2) == 0 {
		in.kind = opRelease
		r.add(client, in, r.now(), output{}, math.MaxInt64)
		l.Release(holder)
	}
	return true
}

const (
	historyDaemons     = 4
	historyClients     = 3 // For each daemon.
	historyClaims      = 25
	historyMaxAttempts = 200 // For each client.
	keysPerSet         = 6
	claimsPerKeySet    = 3 // Claims of a client before it moves to the next keys.
	historyTimeout     = time.Minute
)

// injectFaults changes the platform's faults and pauses daemons until ctx ends.
func injectFaults(ctx context.Context, random *rand.Rand, server *platformstandin.Server, stores []*pausableStore) {
	for ctx.Err() == nil {
		f := platformstandin.Faults{Seed: random.Uint64(), LoseReplyProbability: 0.1}
		switch random.IntN(6) {
		case 0:
			f.Outage = platformstandin.OutageRefuse
		case 1:
			f.Outage = platformstandin.OutageHang
		case 2:
			f.DelayMS = 1 + random.IntN(10)
		case 3:
			f.StaleVersions = int64(1 + random.IntN(20))
		case 4:
			f.LoseReplyProbability = 0.7
		}
		server.SetFaults(f)
		store := stores[random.IntN(len(stores))]
		store.pause()
		time.Sleep(time.Duration(1+random.IntN(20)) * time.Millisecond)
		store.resume()
		time.Sleep(time.Duration(1+random.IntN(20)) * time.Millisecond)
	}
	server.SetFaults(platformstandin.Faults{})
}

// unreliableForwarder forwards to the shard's usual writer, loses some replies and times
// out early.
type unreliableForwarder struct {
	self   int
	logs   []*Log
	mu     sync.Mutex
	random *rand.Rand
}

func (u *unreliableForwarder) Local(shard int) bool { return shard == u.self }

func (u *unreliableForwarder) Forward(ctx context.Context, shard int, claims []Claim) ([]Result, error) {
	u.mu.Lock()
	lose, limit := u.random.IntN(5) == 0, time.Duration(1+u.random.IntN(40))*time.Millisecond
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	results, err := u.logs[shard].Serve(ctx, claims)
	if lose {
		return nil, context.DeadlineExceeded
	}
	return results, err
}

// runHistory has clients of several daemons contend for a few keys under faults, and
// returns the history.
func runHistory(seed uint64, forwarding bool, wrap func(platform.Store) platform.Store) []porcupine.Operation {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := platformstandin.New(platformstandin.Options{})
	record := &recorder{started: time.Now()}
	var stores []*pausableStore
	var clients, driver sync.WaitGroup
	logs := make([]*Log, historyDaemons)
	observeCtx, stopObserving := context.WithCancel(ctx)
	observed := make(chan *observations, 1)
	go func() {
		defer GinkgoRecover()
		observed <- record.observe(observeCtx, server)
	}()
	for d := range historyDaemons {
		store := &pausableStore{Store: wrap(server.Store())}
		stores = append(stores, store)
		name := fmt.Sprintf("d%d", d)
		options := Options{Store: store, Daemon: name, Incarnation: name, Shards: 2, AppendInterval: time.Millisecond, MaxRetryInterval: 5 * time.Millisecond}
		if forwarding {
			options.Forwarder = &unreliableForwarder{self: d, logs: logs, random: rand.New(rand.NewPCG(seed, uint64(1000+d)))}
		}
		l, err := New(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		logs[d] = l
	}
	for d, l := range logs {
		for c := range historyClients {
			client := d*historyClients + c
			clients.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(client)))
				for i, decided := 0, 0; decided < historyClaims && i < historyMaxAttempts; i++ {
					if record.claimOnce(client, l, random, input{
						key:    fmt.Sprintf("k%d", decided/claimsPerKeySet*keysPerSet+random.IntN(keysPerSet)),
						id:     fmt.Sprintf("r%d-%d", client, i),
						digest: fmt.Sprintf("b%d", random.IntN(4)/3),
					}) {
						decided++
					}
				}
			})
		}
	}
	faultCtx, stopFaults := context.WithCancel(ctx)
	driver.Go(func() { injectFaults(faultCtx, rand.New(rand.NewPCG(seed, math.MaxUint64)), server, stores) })
	clients.Wait()
	stopFaults()
	driver.Wait()
	stopObserving()
	logged := <-observed
	Expect(logged.unrequestedReleases(record.history)).To(BeEmpty(), "releases that no client requested")
	return logged.boundedHistory(record.history)
}

// observations are the times by which claims and releases were seen in the log.
type observations struct {
	mu                sync.Mutex
	claimed, released map[string]int64
}

// observe watches the log until ctx has ended and no change has arrived for 100 ms.
func (r *recorder) observe(ctx context.Context, server *platformstandin.Server) *observations {
	seen := &observations{claimed: map[string]int64{}, released: map[string]int64{}}
	var lastVersion int64
	var watch platform.Watch
	for {
		waitCtx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		var err error
		if watch == nil {
			watch, err = server.Store().Watch(waitCtx, platform.ClaimCollection, lastVersion)
		}
		var e platform.Event
		if err == nil {
			e, err = watch.Next(waitCtx)
		}
		cancel()
		switch {
		case err == nil:
			lastVersion = e.Object.Version
			seen.add(e.Object.Data, r.now())
		case ctx.Err() != nil:
			return seen
		case !errors.Is(err, context.DeadlineExceeded):
			watch = nil // An outage ended the watch.
			time.Sleep(time.Millisecond)
		}
	}
}

// add records the entries of a head's tail. The log's other objects hold no entries of
// their own.
func (s *observations) add(data []byte, now int64) {
	h, err := decodeHead(data)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range h.tail {
		times := s.claimed
		if l.Released {
			times = s.released
		}
		if _, ok := times[l.RequestID]; !ok {
			times[l.RequestID] = now
		}
	}
}

// unrequestedReleases returns the requests whose release is in the log although they were
// granted and their client did not release them.
func (s *observations) unrequestedReleases(history []porcupine.Operation) []string {
	requested := map[string]bool{}
	for _, o := range history {
		if o.Input.(input).kind == opRelease {
			requested[o.Input.(input).id] = true
		}
	}
	return lo.Reject(lo.Keys(s.released), func(id string, _ int) bool { return requested[id] })
}

// boundedHistory leaves out the failed claims and the releases that never were in the log,
// and sets the end of the others to the time at which they were seen there.
func (s *observations) boundedHistory(history []porcupine.Operation) []porcupine.Operation {
	return lo.FilterMap(history, func(o porcupine.Operation, _ int) (porcupine.Operation, bool) {
		in := o.Input.(input)
		claimed, claimLogged := s.claimed[in.id]
		released, releaseLogged := s.released[in.id]
		switch in.kind {
		case opFailedClaim:
			o.Return = claimed
			return o, claimLogged
		case opRelease:
			o.Return = released
			return o, claimLogged && releaseLogged
		default:
			return o, true
		}
	})
}

func granted(history []porcupine.Operation) (n int) {
	for _, o := range history {
		if o.Output.(output).outcome == Granted {
			n++
		}
	}
	return n
}

var _ = Describe("concurrent histories under faults", func() {
	DescribeTable("are linearizable", func(seed uint64, forwarding bool) {
		history := runHistory(seed, forwarding, func(s platform.Store) platform.Store { return s })
		Expect(granted(history)).To(BeNumerically(">", historyClaims))
		Expect(porcupine.CheckOperationsTimeout(model, history, historyTimeout)).To(Equal(porcupine.Ok))
	},
		Entry("seed 1", uint64(1), false),
		Entry("seed 2", uint64(2), false),
		Entry("seed 3", uint64(3), false),
		Entry("seed 4, forwarding", uint64(4), true),
		Entry("seed 5, forwarding", uint64(5), true),
		Entry("seed 6, forwarding", uint64(6), true),
	)

	It("are not linearizable once the update is unconditional", func() {
		history := runHistory(1, false, func(s platform.Store) platform.Store { return unconditionalStore{s} })
		Expect(porcupine.CheckOperationsTimeout(model, history, historyTimeout)).To(Equal(porcupine.Illegal))
	})
})
