package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// engineSpec states the speed and memory of a modelled endpoint.
type engineSpec struct {
	// stepBase and stepPerSequence give the time of one decoding step.
	stepBase        time.Duration
	stepPerSequence time.Duration
	// prefillPerToken is the time for one uncached prompt token.
	prefillPerToken time.Duration
	// chunk bounds the prompt tokens of one step.
	chunk int
	// maxBatch bounds the sequences that run at once.
	maxBatch int
	// kvTokens bounds the tokens of the running sequences.
	kvTokens int
	// cacheBlocks bounds the prefix cache, in blocks of blockTokens.
	cacheBlocks int
}

// blockTokens is the length of one prompt block, in tokens.
const blockTokens = 128

// modelEngine is a continuously batching engine.
var modelEngine = engineSpec{
	stepBase:        8 * time.Millisecond,
	stepPerSequence: 250 * time.Microsecond,
	prefillPerToken: 40 * time.Microsecond,
	chunk:           512,
	maxBatch:        64,
	kvTokens:        300_000,
	cacheBlocks:     512,
}

// plainWorker models a plain service: each call is a few steps of fixed length.
var plainWorker = engineSpec{
	stepBase: 5 * time.Millisecond,
	chunk:    1,
	maxBatch: 8,
	kvTokens: 1 << 30,
}

// decodeCost is the computation for one output token in a full batch, in seconds.
func (s engineSpec) decodeCost() float64 {
	return (s.stepBase + time.Duration(s.maxBatch)*s.stepPerSequence).Seconds() / float64(s.maxBatch)
}

// cost is the computation for a whole answer without a cached prefix, in seconds.
func (s engineSpec) cost(prompt, output int) float64 {
	return float64(output)*s.decodeCost() + float64(prompt)*s.prefillPerToken.Seconds()
}

// sequence is one attempt on an engine.
type sequence struct {
	attempt  *attempt
	priority int
	order    uint64
	prompt   int
	output   int
	prefix   []uint64
	// prefill is the prompt tokens that remain to be read; -1 before the sequence started.
	prefill  int
	cached   int
	produced int
	poison   bool
	gone     bool
	// spent is the computation that went into the sequence, in seconds at nominal speed.
	spent float64
}

// engine is a modelled endpoint.
type engine struct {
	sim    *simulation
	name   string
	pool   *poolModel
	spec   engineSpec
	slow   float64 // Factor on the time of each step.
	down   bool
	epoch  int // Counts crashes, so that steps of an earlier life are ignored.
	batch  []*sequence
	queue  []*sequence
	busy   bool
	cache  *simplelru.LRU[uint64, struct{}]
	stored []uint64 // Blocks stored since the last cache event.
	lost   []uint64 // Blocks evicted since the last cache event.
	events uint64
}

func newEngine(sim *simulation, pool *poolModel, name string, spec engineSpec) *engine {
	e := &engine{sim: sim, pool: pool, name: name, spec: spec, slow: 1}
	e.clearCache()
	return e
}

func (e *engine) clearCache() {
	if e.spec.cacheBlocks == 0 {
		return
	}
	// The size is positive, which is all that NewLRU asks for.
	e.cache, _ = simplelru.NewLRU(e.spec.cacheBlocks, func(block uint64, _ struct{}) {
		e.lost = append(e.lost, block)
	})
}

// add queues a sequence; false means that the endpoint refused the connection.
func (e *engine) add(s *sequence) bool {
	if e.down {
		return false
	}
	s.prefill = -1
	at, _ := slices.BinarySearchFunc(e.queue, s, compareSequences)
	e.queue = slices.Insert(e.queue, at, s)
	e.wake()
	return true
}

func compareSequences(a, b *sequence) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.order, b.order))
}

// cancel stops a sequence; it leaves with the next step.
func (e *engine) cancel(s *sequence) { s.gone = true }

func (e *engine) wake() {
	if !e.busy && !e.down {
		e.busy = true
		e.step()
	}
}

// step admits sequences, works for one step, and plans the next one.
func (e *engine) step() {
	e.admit()
	if len(e.batch) == 0 {
		e.busy = false
		return
	}
	duration := e.work()
	life := e.epoch
	e.sim.clock.after(time.Duration(float64(duration)*e.slow), func() {
		if life == e.epoch {
			e.finish()
		}
	})
}

func (e *engine) admit() {
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool { return s.gone })
	e.queue = slices.DeleteFunc(e.queue, func(s *sequence) bool { return s.gone })
	tokens := 0
	for _, s := range e.batch {
		tokens += s.prompt + s.produced
	}
	for len(e.queue) > 0 && len(e.batch) < e.spec.maxBatch {
		s := e.queue[0]
		if tokens += s.prompt; tokens > e.spec.kvTokens && len(e.batch) > 0 {
			return
		}
		e.queue = e.queue[1:]
		s.cached = e.matchPrefix(s)
		s.prefill = s.prompt - s.cached
		e.batch = append(e.batch, s)
		e.sim.started(s.attempt)
	}
}

// matchPrefix returns the prompt tokens whose blocks are cached.
func (e *engine) matchPrefix(s *sequence) int {
	if e.cache == nil {
		return 0
	}
	blocks := 0
	for _, block := range s.prefix {
		if _, ok := e.cache.Get(block); !ok {
			break
		}
		blocks++
	}
	return min(blocks*blockTokens, max(s.prompt-1, 0))
}

// work does the prefill and the decoding of one step and returns its length.
func (e *engine) work() time.Duration {
	duration := e.spec.stepBase
	budget := e.spec.chunk
	slices.SortStableFunc(e.batch, compareSequences)
	for _, s := range e.batch {
		if s.prefill <= 0 {
			s.spent += e.spec.decodeCost()
			duration += e.spec.stepPerSequence
			continue
		}
		tokens := min(budget, s.prefill)
		budget -= tokens
		s.prefill -= tokens
		s.spent += float64(tokens) * e.spec.prefillPerToken.Seconds()
		duration += time.Duration(tokens) * e.spec.prefillPerToken
		if s.prefill == 0 {
			s.prefill = -2 // Read in this step; the first token comes with the next.
			e.storePrefix(s)
		}
	}
	return duration
}

func (e *engine) storePrefix(s *sequence) {
	if e.cache == nil {
		return
	}
	for _, block := range s.prefix {
		if !e.cache.Contains(block) {
			e.stored = append(e.stored, block)
		}
		e.cache.Add(block, struct{}{})
	}
}

// finish hands out the tokens of the step.
func (e *engine) finish() {
	batch := slices.Clone(e.batch)
	for _, s := range batch {
		switch {
		case s.gone || s.prefill > 0:
		case s.prefill == -2:
			s.prefill = 0
			if s.poison {
				e.crash()
				return
			}
		default:
			e.produce(s)
		}
	}
	e.step()
}

func (e *engine) produce(s *sequence) {
	s.produced++
	if s.produced == 1 {
		e.sim.firstToken(s.attempt)
	}
	if s.produced >= s.output {
		s.gone = true
		e.sim.completed(s.attempt)
	}
}

// crashDuration is how long a crashed endpoint refuses connections.
const crashDuration = 8 * time.Second

// crash ends everything on the endpoint and takes it down for a while.
func (e *engine) crash() {
	e.epoch++
	e.down, e.busy = true, false
	lost := slices.Concat(e.batch, e.queue)
	e.batch, e.queue = nil, nil
	e.clearCache()
	e.stored, e.lost = nil, nil
	for _, s := range lost {
		if !s.gone {
			s.gone = true
			e.sim.broken(s.attempt)
		}
	}
	e.sim.clock.after(crashDuration, func() {
		e.down = false
		e.sim.cacheEvent(e, placement.CacheEvents{Cleared: true})
	})
}

// load is what the engine reports.
func (e *engine) load() routing.Load {
	tokens := 0
	for _, s := range e.batch {
		tokens += s.prompt + s.produced
	}
	return routing.Load{
		Endpoint:  e.name,
		Running:   len(e.batch),
		Waiting:   len(e.queue),
		CacheUsed: float64(tokens) / float64(e.spec.kvTokens),
	}
}

// takeCacheEvents returns the changes of the prefix cache since the last call.
func (e *engine) takeCacheEvents() placement.CacheEvents {
	events := placement.CacheEvents{Stored: e.stored, Evicted: e.lost}
	e.stored, e.lost = nil, nil
	return events
}
