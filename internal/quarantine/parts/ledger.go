package parts

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Options configure a Ledger; all fields are required.
type Options struct {
	Policy Policy
	// MakesTrials reports whether this daemon, of all, makes the trials of a part. It changes with
	// rotation, which is the same at all daemons for most of the time.
	MakesTrials func(part Key, rotation int64) bool
	// OnChange is called after a part was blocked or its block was lifted, without locks held.
	OnChange func(Change)
}

// Change is a part that was blocked, or whose block was lifted.
type Change struct {
	Part    Key
	Blocked bool
	// Crashes is the number of crashes that the part explains; zero if a peer decided.
	Crashes int
	// Established is set if a response with the part had begun here lately.
	Established bool
	// Generation is that of the block; see Block.
	Generation uint32
}

// Decision says whether a request may run.
type Decision struct {
	Admitted bool
	// Trial is set if the request has the blocked part Part and runs as a trial; see TrialEnded.
	Trial bool
	// Part is the blocked part of the request, if it has one.
	Part Key
	// RetryAfter is the time until the next trial, if the request is not admitted.
	RetryAfter time.Duration
}

// Ledger holds the evidence of one daemon. It is bounded and safe for concurrent use.
type Ledger struct {
	options Options
	started time.Time
	history history
	// active is set while there are crashes or blocks; without them a request takes no lock here.
	active atomic.Bool
	// changedAt is when the evidence last grew, in Unix ns.
	changedAt atomic.Int64

	mu      sync.Mutex
	crashes []*crash // In order of time.
	// begunAt is when a response last began. It has all parts of crashes and blocks, and no others.
	begunAt map[Key]time.Time
	blocks  map[Key]*block
	// unjudged is set if crashes were added since culprits were last sought.
	unjudged bool
	// excusedAt is when excused requests were last dropped from crashes.
	excusedAt time.Time
	// turn counts the messages that were sent by turns.
	turn int
}

// block is the state of a part that is or was blocked.
type block struct {
	generation   uint32
	failedTrials uint32
	// trialCrashes counts the crashes since settleTime after the block.
	trialCrashes int
	// established is set if a response with the part had begun lately when it was blocked.
	established bool
	since       time.Time
	// changedAt is when it was blocked or lifted here.
	changedAt time.Time
	// lastUsed is when a request was refused, or an endpoint crashed, because of the part.
	lastUsed  time.Time
	nextTrial time.Time
	trial     trial
}

func (b *block) blocked() bool { return b.generation%2 == 1 }

// NewLedger returns an empty ledger.
func NewLedger(now time.Time, options Options) *Ledger {
	return &Ledger{options: options, started: now, begunAt: map[Key]time.Time{}, blocks: map[Key]*block{}}
}

// Crashed records that an endpoint crashed while the requests with the given chains waited for their
// responses there.
func (l *Ledger) Crashed(now time.Time, endpoint EndpointKey, chains []Chain) {
	l.change(now, func() { l.addCrash(now, Crash{Endpoint: endpoint, Chains: chains}) })
}

// Expire drops what is too old. It must be called every second or so.
func (l *Ledger) Expire(now time.Time) {
	if l.active.Load() {
		l.change(now, func() {})
	}
}

// Began records that a response to a request with that chain has begun, and when. It lifts the
// blocks of its parts that are older.
func (l *Ledger) Began(now, begunAt time.Time, chain Chain) {
	for _, part := range chain {
		l.history.add(now, part)
	}
	if !l.active.Load() {
		return
	}
	for _, c := range l.exonerate(now, begunAt, chain) {
		l.options.OnChange(c)
	}
}

// exonerate records the begin of a response for the parts that there is evidence on.
func (l *Ledger) exonerate(now, begunAt time.Time, chain Chain) (changes []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range chain {
		last, watched := l.begunAt[part]
		if !watched {
			continue
		}
		if begunAt.After(last) {
			l.begunAt[part] = begunAt
		}
		if b := l.blocks[part]; b != nil && b.blocked() && begunAt.After(b.since) {
			l.lift(now, b, b.generation+1)
			changes = append(changes, l.changeOf(part, b, 0))
		}
	}
	return changes
}

// Admit decides whether a request with that chain may run now. The deepest of its blocked parts
// decides. A blocked part is tried at one daemon, one request at a time.
func (l *Ledger) Admit(now time.Time, chain Chain) Decision {
	if !l.active.Load() {
		return Decision{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range slices.Backward(chain) {
		b := l.blocks[part]
		if b == nil || !b.blocked() {
			continue
		}
		b.lastUsed = now
		if l.exhausted(b) {
			return Decision{Part: part, RetryAfter: exhaustedRetryAfter}
		}
		if now.Before(b.nextTrial) || b.trial.runs(now) || !l.startsTrial(now, part, b) {
			return Decision{Part: part, RetryAfter: b.trialDue(now)}
		}
		b.trial = trial{own: true}
		l.grew(now)
		return Decision{Admitted: true, Trial: true, Part: part}
	}
	return Decision{Admitted: true}
}

// Blocks reports whether a part of the chain is blocked.
func (l *Ledger) Blocks(chain Chain) bool {
	if !l.active.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(chain, func(part Key) bool { b := l.blocks[part]; return b != nil && b.blocked() })
}

// Merge adds the evidence of another daemon.
func (l *Ledger) Merge(now time.Time, evidence Evidence) {
	if evidence.Empty() {
		return
	}
	l.change(now, func() {
		for _, c := range evidence.Crashes {
			l.addCrash(now, c)
		}
		for _, b := range evidence.Begins {
			l.mergeBegin(now, b)
		}
		for _, b := range evidence.Blocks {
			l.mergeBlock(now, b)
		}
		for _, t := range evidence.Trials {
			l.mergeTrial(now, t)
		}
	})
}

// Evidence returns what to send to other daemons, as messages of up to about maxBytes encoded: the
// newest blocks, and the newest crashes with the responses that began since with their parts. Each
// message is evidence by itself. By turns it is one message, of other blocks and crashes each time.
func (l *Ledger) Evidence(now time.Time, maxBytes int) []Evidence {
	if !l.active.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	blocks, crashes := l.newestBlocks(now), slices.Clone(l.crashes)
	slices.Reverse(crashes)
	byTurns := l.options.Policy.SentByTurns && !l.ChangedSince(now.Add(-newsTime))
	if byTurns {
		l.turn++
		blocks, crashes = rotated(blocks, l.turn*maxSentBlocks), rotated(crashes, l.turn*crashesPerTurn)
	}
	blocks, crashes = blocks[:min(len(blocks), maxSentBlocks)], crashes[:min(len(crashes), maxSentCrashes)]
	p := packer{maxBytes: maxBytes, left: maxBytes - len(blocks)*blockBytes, message: Evidence{Blocks: blocks}}
	for _, c := range crashes {
		for _, chain := range c.chains {
			p.add(Crash{Endpoint: c.endpoint, Age: now.Sub(c.at)}, chain, l.beginsOf(now, chain))
		}
	}
	messages := p.finish()
	if len(messages) > 0 {
		messages[0].Trials = l.runningTrials(now)
	}
	if byTurns {
		messages = messages[:min(len(messages), 1)]
	}
	return messages
}

// rotated returns a list that begins at element n, counted round.
func rotated[T any](list []T, n int) []T {
	if len(list) == 0 {
		return list
	}
	n %= len(list)
	return slices.Concat(list[n:], list[:n])
}

// beginsOf returns when responses with the parts of a chain last began.
func (l *Ledger) beginsOf(now time.Time, chain Chain) (begins []Begin) {
	for _, part := range chain {
		if at := l.begunAt[part]; !at.IsZero() {
			begins = append(begins, Begin{Part: part, Age: now.Sub(at)})
		}
	}
	return begins
}

// States returns the state of each part that is or was blocked.
func (l *Ledger) States(now time.Time) []State {
	if !l.active.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var states []State
	for _, b := range l.newestBlocks(now) {
		states = append(states, State{Block: b, Age: now.Sub(l.blocks[b.Part].changedAt)})
	}
	return states
}

func (l *Ledger) newestBlocks(now time.Time) []Block {
	blocks := make([]Block, 0, len(l.blocks))
	for part, b := range l.blocks {
		blocks = append(blocks, Block{Part: part, Generation: b.generation, FailedTrials: b.failedTrials, Idle: now.Sub(b.lastUsed)})
	}
	slices.SortFunc(blocks, func(a, b Block) int { return cmp.Or(cmp.Compare(a.Idle, b.Idle), cmp.Compare(a.Part, b.Part)) })
	return blocks
}

// ChangedSince reports whether the evidence has grown since then.
func (l *Ledger) ChangedSince(t time.Time) bool { return l.changedAt.Load() > t.UnixNano() }

// CountBlocked returns the number of parts that are blocked.
func (l *Ledger) CountBlocked() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.blocks {
		if b.blocked() {
			n++
		}
	}
	return n
}

// CountCrashes returns the number of crashes under a part since a response with it last began.
func (l *Ledger) CountCrashes(part Key) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.crashes {
		if c.contains(part) && c.at.After(l.begunAt[part]) {
			n++
		}
	}
	return n
}

// CrashedSince reports whether there is evidence of a crash of an endpoint at or after a time.
func (l *Ledger) CrashedSince(t time.Time, endpoint EndpointKey) bool {
	if !l.active.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.crashes, func(c *crash) bool { return c.endpoint == endpoint && !c.at.Before(t) })
}

// change applies a change to the evidence, draws the conclusions and reports them.
func (l *Ledger) change(now time.Time, apply func()) {
	for _, c := range l.conclude(now, apply) {
		l.options.OnChange(c)
	}
}

func (l *Ledger) conclude(now time.Time, apply func()) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := make(map[Key]uint32, len(l.blocks))
	for part, b := range l.blocks {
		before[part] = b.generation
	}
	apply()
	l.expire(now)
	var counts map[Key]int
	// A part that stops being established takes fewer crashes, without any new one.
	if l.unjudged || l.options.Policy.EstablishedThreshold != l.options.Policy.FreshThreshold {
		counts = l.blockCulprits(now)
		l.unjudged = false
	}
	var changes []Change
	for part, b := range l.blocks {
		if b.generation%2 != before[part]%2 {
			changes = append(changes, l.changeOf(part, b, counts[part]))
		}
	}
	return changes
}

func (l *Ledger) changeOf(part Key, b *block, crashes int) Change {
	return Change{Part: part, Blocked: b.blocked(), Crashes: crashes, Established: b.established, Generation: b.generation}
}

// blockCulprits blocks the parts that the crashes are blamed on, and returns their crashes.
func (l *Ledger) blockCulprits(now time.Time) map[Key]int {
	counts := map[Key]int{}
	established := func(part Key) bool { return l.established(now, part) }
	threshold := func(part Key) int { return l.options.Policy.threshold(established(part), now.Sub(l.started)) }
	for _, culprit := range blame(l.crashes, func(part Key) time.Time { return l.begunAt[part] }, established, threshold, l.options.Policy.CrashSpacing) {
		counts[culprit.part] = culprit.crashes
		b := l.blockOf(now, culprit.part)
		if !b.blocked() {
			l.startBlock(now, culprit.part, b, b.generation+1)
			l.grew(now)
		}
	}
	return counts
}

// established reports whether a response with the part began lately. A daemon that has just started
// doesn't know, and assumes it where an established part takes more crashes.
func (l *Ledger) established(now time.Time, part Key) bool {
	policy := l.options.Policy
	assumed := policy.EstablishedThreshold > policy.FreshThreshold && now.Sub(l.started) < historyWarmup
	return assumed || l.history.has(now, part)
}

func (l *Ledger) startBlock(now time.Time, part Key, b *block, generation uint32) {
	b.generation, b.since, b.changedAt, b.lastUsed, b.trialCrashes = generation, now, now, now, 0
	b.established = l.established(now, part)
	b.nextTrial = now.Add(l.trialDelay(b))
}

func (l *Ledger) lift(now time.Time, b *block, generation uint32) {
	b.generation, b.changedAt, b.trial = generation, now, trial{}
	l.grew(now)
}

// blockOf returns the block of a part, and makes room for it if there is none.
func (l *Ledger) blockOf(now time.Time, part Key) *block {
	if b := l.blocks[part]; b != nil {
		return b
	}
	if len(l.blocks) >= l.options.Policy.MaxBlocks {
		var oldest Key
		for key, b := range l.blocks {
			if o := l.blocks[oldest]; o == nil || b.lastUsed.Before(o.lastUsed) || (b.lastUsed.Equal(o.lastUsed) && key < oldest) {
				oldest = key
			}
		}
		delete(l.blocks, oldest)
		l.unwatch()
	}
	b := &block{lastUsed: now}
	l.blocks[part] = b
	l.watch(part)
	return b
}

// mergeBegin records the begin of a response at another daemon, earlier by the time that the message
// may have taken: it must not excuse a crash that came after it.
func (l *Ledger) mergeBegin(now time.Time, b Begin) {
	at := now.Add(-b.Age - maxMessageDelay)
	last, watched := l.begunAt[b.Part]
	if !watched || b.Age < 0 || !at.After(last) {
		return
	}
	l.begunAt[b.Part] = at
	if b.Age < historyWindow {
		l.history.add(now, b.Part)
	}
}

// mergeBlock takes the later generation. A block that is wrong here is lifted by the next response
// that begins.
func (l *Ledger) mergeBlock(now time.Time, other Block) {
	known := l.blocks[other.Part]
	if other.Generation > maxCount || other.FailedTrials > maxCount {
		return
	}
	other.Idle = max(0, other.Idle)
	if other.Idle >= l.options.Policy.BlockIdleTime || (known == nil && other.Generation == 0) {
		return
	}
	b := l.blockOf(now, other.Part)
	if lastUsed := now.Add(-other.Idle); known == nil || lastUsed.After(b.lastUsed) {
		b.lastUsed = lastUsed
	}
	if other.FailedTrials > b.failedTrials {
		b.failedTrials = other.FailedTrials
		b.nextTrial = now.Add(l.trialDelay(b))
		l.grew(now)
	}
	if other.Generation <= b.generation {
		return
	}
	wasBlocked := b.blocked()
	switch {
	case !other.Blocked():
		l.lift(now, b, other.Generation)
		l.begunAt[other.Part] = now // What happened before the lift is no evidence any more.
	case wasBlocked:
		b.generation = other.Generation
	default:
		l.startBlock(now, other.Part, b, other.Generation)
	}
	l.grew(now)
}

// addCrash adds a crash, or the requests that it did not name before.
func (l *Ledger) addCrash(now time.Time, other Crash) {
	if len(other.Chains) == 0 || other.Age >= l.options.Policy.CrashRetention || other.Age < 0 {
		return
	}
	c := l.crashOf(now, other)
	for _, chain := range other.Chains {
		chain = chain[:min(len(chain), maxChainLength)]
		known := slices.ContainsFunc(c.chains, func(k Chain) bool { return slices.Equal(k, chain) })
		if known || len(chain) == 0 || len(c.chains) >= l.options.Policy.MaxChains {
			continue
		}
		c.chains = append(c.chains, slices.Clone(chain))
		l.unjudged = true
		l.grew(now)
		for _, part := range chain {
			l.watch(part)
			if b := l.blocks[part]; b != nil {
				b.lastUsed = now
				l.countTrialCrash(now, b, c)
			}
		}
	}
}

func (l *Ledger) crashOf(now time.Time, other Crash) *crash {
	at := now.Add(-other.Age)
	same := func(c *crash) bool { return c.endpoint == other.Endpoint && at.Sub(c.at).Abs() < sameCrash }
	if i := slices.IndexFunc(l.crashes, same); i >= 0 {
		return l.crashes[i]
	}
	if len(l.crashes) >= l.options.Policy.MaxCrashes {
		l.crashes = slices.Delete(l.crashes, 0, 1)
		l.unwatch()
	}
	c := &crash{endpoint: other.Endpoint, at: at}
	i, _ := slices.BinarySearchFunc(l.crashes, c, func(a, b *crash) int { return a.at.Compare(b.at) })
	l.crashes = slices.Insert(l.crashes, i, c)
	return c
}

func (l *Ledger) grew(now time.Time) { l.changedAt.Store(now.UnixNano()) }

// watch begins to record when responses with a part begin.
func (l *Ledger) watch(part Key) {
	if _, watched := l.begunAt[part]; !watched {
		l.begunAt[part] = time.Time{}
	}
}

// expire drops old crashes and blocks, and what is kept about their parts.
func (l *Ledger) expire(now time.Time) {
	items := len(l.crashes) + len(l.blocks)
	dropExcused := now.Sub(l.excusedAt) >= excusedInterval
	if dropExcused {
		l.excusedAt = now
	}
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool {
		if dropExcused && now.Sub(c.at) >= excusedRetention {
			c.chains = slices.DeleteFunc(c.chains, func(chain Chain) bool { return l.excuses(c, chain) })
		}
		return now.Sub(c.at) >= l.options.Policy.CrashRetention || len(c.chains) == 0
	})
	for part, b := range l.blocks {
		switch {
		case now.Sub(b.lastUsed) < l.options.Policy.BlockIdleTime:
		case b.blocked():
			l.lift(now, b, b.generation+1) // Known as lifted for as long again.
			b.lastUsed = now
		default:
			delete(l.blocks, part)
		}
	}
	if len(l.crashes)+len(l.blocks) < items {
		l.unwatch()
	}
	l.active.Store(len(l.crashes) > 0 || len(l.blocks) > 0)
}

// excuses reports whether responses with all parts of a chain have begun since a crash.
func (l *Ledger) excuses(c *crash, chain Chain) bool {
	return !slices.ContainsFunc(chain, func(part Key) bool { return !l.begunAt[part].After(c.at) })
}

// unwatch drops the parts that there is no evidence on any more.
func (l *Ledger) unwatch() {
	previous := l.begunAt
	l.begunAt = make(map[Key]time.Time, len(previous))
	keep := func(part Key) { l.begunAt[part] = previous[part] }
	for part := range l.blocks {
		keep(part)
	}
	for _, c := range l.crashes {
		for _, chain := range c.chains {
			for _, part := range chain {
				keep(part)
			}
		}
	}
}
