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
	// opLostClaim failed for its caller, but was made.
	opLostClaim
)

type input struct {
	kind            opKind
	key, id, digest string
}

type output struct {
	verdict Outcome
	holder  string
}

// holding is the state of one key: the request that holds it, or none.
type holding struct{ id, digest string }

// model is what the log promises for one key.
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
	Init: func() any { return holding{} },
	Step: func(state, in, out any) (bool, any) { return stepModel(state.(holding), in.(input), out.(output)) },
}

func stepModel(h holding, in input, out output) (bool, any) {
	switch {
	case in.kind == opRelease:
		return h.id == in.id, holding{}
	case in.kind == opLostClaim || out.verdict == Granted:
		return h.id == "", holding{id: in.id, digest: in.digest}
	case out.verdict == Held:
		return h.id == out.holder && h.digest == in.digest, h
	case out.verdict == Mismatched:
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

// claimOnce makes one claim and, now and then, releases it. It returns false for an error.
func (r *recorder) claimOnce(client int, l *Log, random *rand.Rand, in input) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(60))*time.Millisecond)
	defer cancel()
	call := r.now()
	verdict, holder, err := l.Claim(ctx, Claim{Workspace: "w", Key: in.key, Digest: in.digest, RequestID: in.id})
	if err != nil {
		in.kind = opLostClaim
		r.add(client, in, call, output{}, math.MaxInt64)
		in.kind = opRelease
		r.add(client, in, call, output{}, math.MaxInt64)
		time.Sleep(time.Duration(1+random.IntN(5)) * time.Millisecond)
		return false
	}
	r.add(client, in, call, output{verdict: verdict, holder: holder.RequestID}, r.now())
	if verdict == Granted && random.IntN(2) == 0 {
		in.kind = opRelease
		r.add(client, in, r.now(), output{}, math.MaxInt64)
		l.Release(holder)
	}
	return true
}

const (
	historyDaemons = 4
	historyClients = 3 // For each daemon.
	historyClaims  = 25
	historyTries   = 200 // For each client.
	keysAtOnce     = 6
	keyPhase       = 3 // Claims of a client before it goes on to other keys.
	historyTimeout = time.Minute
)

// disturb changes the platform's faults and pauses daemons until ctx ends.
func disturb(ctx context.Context, random *rand.Rand, server *platformstandin.Server, stores []*pausable) {
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
		store.wake()
		time.Sleep(time.Duration(1+random.IntN(20)) * time.Millisecond)
	}
	server.SetFaults(platformstandin.Faults{})
}

// unreliable forwards to the shard's usual writer; it loses replies and gives up early.
type unreliable struct {
	self   int
	logs   []*Log
	mu     sync.Mutex
	random *rand.Rand
}

func (u *unreliable) Local(shard int) bool { return shard == u.self }

func (u *unreliable) Forward(ctx context.Context, shard int, claims []Claim) ([]Result, error) {
	u.mu.Lock()
	lose, limit := u.random.IntN(5) == 0, time.Duration(1+u.random.IntN(40))*time.Millisecond
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answers, err := u.logs[shard].Serve(ctx, claims)
	if lose {
		return nil, context.DeadlineExceeded
	}
	return answers, err
}

// runHistory lets clients of several daemons contend for few keys under faults.
func runHistory(seed uint64, forwarding bool, wrap func(platform.Store) platform.Store) []porcupine.Operation {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := platformstandin.New(platformstandin.Options{})
	record := &recorder{started: time.Now()}
	var stores []*pausable
	var clients, driver sync.WaitGroup
	logs := make([]*Log, historyDaemons)
	observing, end := context.WithCancel(ctx)
	seen := make(chan *effects, 1)
	go func() {
		defer GinkgoRecover()
		seen <- record.observe(observing, server)
	}()
	for d := range historyDaemons {
		store := &pausable{Store: wrap(server.Store())}
		stores = append(stores, store)
		name := fmt.Sprintf("d%d", d)
		options := Options{Store: store, Daemon: name, Incarnation: name, Shards: 2, AppendInterval: time.Millisecond, MaxRetryInterval: 5 * time.Millisecond}
		if forwarding {
			options.Forwarder = &unreliable{self: d, logs: logs, random: rand.New(rand.NewPCG(seed, uint64(1000+d)))}
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
				for i, decided := 0, 0; decided < historyClaims && i < historyTries; i++ {
					if record.claimOnce(client, l, random, input{
						key:    fmt.Sprintf("k%d", decided/keyPhase*keysAtOnce+random.IntN(keysAtOnce)),
						id:     fmt.Sprintf("r%d-%d", client, i),
						digest: fmt.Sprintf("b%d", random.IntN(4)/3),
					}) {
						decided++
					}
				}
			})
		}
	}
	faults, stop := context.WithCancel(ctx)
	driver.Go(func() { disturb(faults, rand.New(rand.NewPCG(seed, math.MaxUint64)), server, stores) })
	clients.Wait()
	stop()
	driver.Wait()
	end()
	got := <-seen
	Expect(got.unasked(record.history)).To(BeEmpty(), "released by another than the holder")
	return got.bounded(record.history)
}

// effects are the times by which claims and releases were seen in the log.
type effects struct {
	mu                sync.Mutex
	claimed, released map[string]int64
}

// observe follows the log until it has been quiet for a while after ctx has ended.
func (r *recorder) observe(ctx context.Context, server *platformstandin.Server) *effects {
	seen := &effects{claimed: map[string]int64{}, released: map[string]int64{}}
	var reached int64
	var w platform.Watch
	for {
		waiting, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		var err error
		if w == nil {
			w, err = server.Store().Watch(waiting, platform.ClaimCollection, reached)
		}
		var e platform.Event
		if err == nil {
			e, err = w.Next(waiting)
		}
		cancel()
		switch {
		case err == nil:
			reached = e.Object.Version
			seen.add(e.Object.Data, r.now())
		case ctx.Err() != nil:
			return seen
		case !errors.Is(err, context.DeadlineExceeded):
			w = nil // An outage cut the watch.
			time.Sleep(time.Millisecond)
		}
	}
}

// add notes the entries of a head's tail. Other objects of the log have none of their own.
func (s *effects) add(data []byte, now int64) {
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

// unasked returns the requests whose release is in the log though they were granted
// and their client did not ask for it.
func (s *effects) unasked(history []porcupine.Operation) []string {
	asked := map[string]bool{}
	for _, o := range history {
		if o.Input.(input).kind == opRelease {
			asked[o.Input.(input).id] = true
		}
	}
	return lo.Reject(lo.Keys(s.released), func(id string, _ int) bool { return asked[id] })
}

// bounded leaves out the failed claims and the releases that never were in the log, and
// ends the others by the time at which they were seen there.
func (s *effects) bounded(history []porcupine.Operation) []porcupine.Operation {
	return lo.FilterMap(history, func(o porcupine.Operation, _ int) (porcupine.Operation, bool) {
		in := o.Input.(input)
		claimed, made := s.claimed[in.id]
		released, ended := s.released[in.id]
		switch in.kind {
		case opLostClaim:
			o.Return = claimed
			return o, made
		case opRelease:
			o.Return = released
			return o, made && ended
		default:
			return o, true
		}
	})
}

func granted(history []porcupine.Operation) (n int) {
	for _, o := range history {
		if o.Output.(output).verdict == Granted {
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
		history := runHistory(1, false, func(s platform.Store) platform.Store { return unconditional{s} })
		Expect(porcupine.CheckOperationsTimeout(model, history, historyTimeout)).To(Equal(porcupine.Illegal))
	})
})
