package memory

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// heldShare is the part, as a fraction of heldShareOf, of the VM's memory that is held for others, by the
	// process and by the kernel. The process takes 26 MB at rest, and released bytes take half as much again
	// until they are collected.
	heldShare, heldShareOf = 3, 10
	// largestBodies is how many of the largest bodies the account has room for, whatever the VM's memory:
	// one that is being read takes up to twice its size while its buffer grows, and large ones get three
	// quarters of the account.
	largestBodies = 3
	// unlimitedDescriptors is a limit of the kernel that no process reaches.
	unlimitedDescriptors = 1 << 30
)

// ErrNoRoom means that there is no room for what was asked.
var ErrNoRoom = errors.New("no room for what is held for others")

// Machine is what the process may use at most.
type Machine struct {
	// Bytes is the memory of the machine, and Descriptors the process's limit; 0 if it is not known.
	Bytes       int64
	Descriptors int
}

// ThisMachine returns the limits that the kernel reports.
func ThisMachine() (m Machine) {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		m.Bytes = int64(info.Totalram) * int64(info.Unit)
	}
	var files unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil && files.Cur < unlimitedDescriptors {
		m.Descriptors = int(files.Cur)
	}
	return m
}

// Limits returns the limits of an account in a process that may use so much memory, in MB, or that of the
// machine if that is 0, and whose largest request body has maxBody bytes.
func (m Machine) Limits(memoryMB, maxBody int) Limits {
	bytes := m.Bytes
	if memoryMB > 0 {
		bytes = int64(memoryMB) << 20
	}
	l := Limits{Bytes: bytes / heldShareOf * heldShare, Descriptors: m.Descriptors}
	if l.Bytes > 0 {
		l.Bytes = max(l.Bytes, largestBodies*int64(maxBody))
	}
	return l
}

// Refusal describes a holder that was refused or had to give way.
type Refusal struct {
	Class    Class
	Shortage Shortage
	// GaveWay is set if the holder had been admitted before.
	GaveWay bool
	State   State
	Bytes   int64
	Remote  string
}

// GiveWay ends a connection that has to give way: at once if its descriptor is needed, and else after an
// answer. It may be called before Open has returned, and must not block.
type GiveWay func(h *Holder, atOnce bool)

// Account sums up what is held for others. It is safe for concurrent use.
type Account struct {
	limits func() Limits
	// onRefusal is called for each refusal, without a lock.
	onRefusal func(Refusal)
	began     time.Time

	mu       sync.Mutex
	totals   Totals
	holders  map[*Holder]struct{}
	released released
	// scratchHolders and scratchHoldings are the arguments of the last decision, whose memory is used again.
	scratchHolders  []*Holder
	scratchHoldings []Holding
}

// NewAccount returns an empty account. limits returns the limits in force.
func NewAccount(limits func() Limits, onRefusal func(Refusal)) *Account {
	a := &Account{limits: limits, onRefusal: onRefusal, began: time.Now(), holders: make(map[*Holder]struct{})}
	a.watchCollections()
	return a
}

// Holder is a connection in an account. Its methods are safe for concurrent use, and those of a nil
// Holder account for nothing.
type Holder struct {
	account *Account
	class   Class
	remote  string
	giveWay GiveWay
	state   atomic.Int32
	// moved is the time of the last byte, since the account began.
	moved atomic.Int64

	// base is what the connection itself takes.
	base int64
	// The fields below are guarded by the account's lock.
	bytes int64
	// givenUp are bytes that had to give way and that the connection may still refer to.
	givenUp int64
	// ended is set if the holder had to give way or is closed. It holds no bytes any more.
	ended bool
}

// Open adds a connection that takes a number of bytes from the start. giveWay is called if the connection
// has to give way.
func (a *Account) Open(class Class, bytes int64, remote string, giveWay GiveWay) (*Holder, error) {
	if a == nil {
		return nil, nil
	}
	h := &Holder{account: a, class: class, remote: remote, giveWay: giveWay, base: bytes}
	h.Moved()
	if !a.admit(h, Ask{Class: class, Bytes: bytes, Connection: true}) {
		return nil, ErrNoRoom
	}
	return h, nil
}

// OpenOutbound adds a connection that the process opens. It is always admitted; others give way if they
// can.
func (a *Account) OpenOutbound(bytes int64, remote string) *Holder {
	if a == nil {
		return nil
	}
	h := &Holder{account: a, class: Endpoints, remote: remote, giveWay: func(*Holder, bool) {}, base: bytes}
	h.state.Store(int32(Running))
	if !a.admit(h, Ask{Class: Endpoints, Bytes: bytes, Connection: true}) {
		a.mu.Lock()
		defer a.mu.Unlock()
		h.bytes = bytes
		a.totals.Bytes += bytes
		a.totals.Connections[Endpoints]++
		a.holders[h] = struct{}{}
	}
	return h
}

// admit decides on an ask of h and carries the decision out.
func (a *Account) admit(h *Holder, ask Ask) bool {
	limits, now := a.limits(), time.Since(a.began)
	a.mu.Lock()
	if h.ended {
		a.mu.Unlock()
		return false
	}
	ask.Held = h.bytes
	lacks := Check(limits, a.totals, ask)
	// Those that give way for bytes alone get an answer.
	atOnce := Check(limits, a.totals, Ask{Class: ask.Class, Connection: ask.Connection}) == TooFewDescriptors
	var gaveWay []*Holder
	if lacks != Enough {
		gaveWay, lacks = a.makeRoom(limits, now, h, ask)
	}
	refusals := make([]Refusal, 0, len(gaveWay))
	for _, other := range gaveWay {
		refusals = append(refusals, Refusal{Class: other.class, Shortage: Check(limits, a.totals, ask), GaveWay: true, State: State(other.state.Load()), Bytes: other.bytes, Remote: other.remote})
		a.giveUp(other, atOnce)
	}
	if lacks == Enough {
		a.totals.Bytes += ask.Bytes
		h.bytes += ask.Bytes
		if ask.Connection {
			a.totals.Connections[h.class]++
			a.holders[h] = struct{}{}
		}
	} else {
		refusals = append(refusals, Refusal{Class: h.class, Shortage: lacks, State: State(h.state.Load()), Bytes: ask.Held + ask.Bytes, Remote: h.remote})
	}
	a.mu.Unlock()
	for _, other := range gaveWay {
		other.giveWay(other, atOnce)
	}
	for _, r := range refusals {
		a.onRefusal(r)
	}
	if lacks == Enough && !a.awaitCollected(limits, h) {
		h.takeBack(ask)
		a.onRefusal(Refusal{Class: h.class, Shortage: TooFewBytes, State: State(h.state.Load()), Bytes: ask.Held + ask.Bytes, Remote: h.remote})
		return false
	}
	return lacks == Enough
}

// takeBack undoes the admission of an ask, for which nothing has been allocated.
func (h *Holder) takeBack(ask Ask) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.ended {
		h.bytes -= ask.Bytes
		a.totals.Bytes -= ask.Bytes
	} else {
		h.givenUp -= ask.Bytes
		a.released.referred -= ask.Bytes
	}
	if _, counted := a.holders[h]; counted && ask.Connection {
		a.totals.Connections[h.class]--
		delete(a.holders, h)
	}
}

// makeRoom returns the holders that have to give way. The lock is held.
func (a *Account) makeRoom(limits Limits, now time.Duration, asker *Holder, ask Ask) ([]*Holder, Shortage) {
	holders, holdings := a.scratchHolders[:0], a.scratchHoldings[:0]
	for h := range a.holders {
		if h != asker && (!h.ended || ask.Connection) { // One that gave way with an answer still has its descriptor.
			holders = append(holders, h)
			holdings = append(holdings, Holding{Class: h.class, State: State(h.state.Load()), Bytes: h.bytes, Quiet: now - time.Duration(h.moved.Load())})
		}
	}
	a.scratchHolders, a.scratchHoldings = holders, holdings
	defer clear(holders) // Nothing is kept alive by the scratch.
	chosen, lacks := Decide(limits, a.totals, ask, holdings)
	gaveWay := make([]*Holder, 0, len(chosen))
	for _, i := range chosen {
		gaveWay = append(gaveWay, holders[i])
	}
	return gaveWay, lacks
}

// giveUp ends what a holder holds: its bytes, and its connection if that is closed at once. The lock is
// held.
func (a *Account) giveUp(h *Holder, connection bool) {
	a.totals.Bytes -= h.bytes
	a.released.referred += h.bytes
	h.givenUp += h.bytes
	h.bytes, h.ended = 0, true
	if _, counted := a.holders[h]; counted && connection {
		a.totals.Connections[h.class]--
		delete(a.holders, h)
	}
}

// Released returns the bytes that are not held any more and that the collector may not have freed yet, and
// how many collections the account has started to free such bytes.
func (a *Account) Released() (bytes, collections int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.released.bytes(), a.released.collections
}

// Totals returns the sums over all connections.
func (a *Account) Totals() Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.totals
}

// Limits returns the limits in force.
func (a *Account) Limits() Limits { return a.limits() }

// Crowded reports whether the connections of the account use so many descriptors that idle ones to
// endpoints must not be kept.
func (a *Account) Crowded() bool {
	if a == nil {
		return false
	}
	limit := a.limits().Descriptors
	return limit > 0 && a.Totals().Descriptors() >= limit-2*limit/freeDescriptors
}

// Close takes the connection out of the account.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.giveUp(h, true)
	h.drop(h.givenUp)
}

// GaveWay reports whether the connection had to give way, or is closed.
func (h *Holder) GaveWay() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.ended
}

// Reserve asks for room for further bytes. If it returns false, nothing further may be held.
func (h *Holder) Reserve(bytes int) bool {
	return h == nil || h.account.admit(h, Ask{Class: h.class, Bytes: int64(bytes)})
}

// Hold records further bytes, for which others give way if they can.
func (h *Holder) Hold(bytes int) {
	if h == nil || h.Reserve(bytes) {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.change(int64(bytes))
}

// change adds to the bytes that are held, at least those of the connection. The lock is held.
func (h *Holder) change(bytes int64) {
	if h.ended {
		h.drop(min(-bytes, h.givenUp))
		return
	}
	bytes = max(bytes, h.base-h.bytes)
	h.bytes += bytes
	h.account.totals.Bytes += bytes
	if bytes < 0 {
		h.account.released.dropped -= bytes
	}
}

// drop records that the connection refers no more to bytes that it has given up. The lock is held.
func (h *Holder) drop(bytes int64) {
	if bytes > 0 {
		h.givenUp -= bytes
		h.account.released.referred -= bytes
		h.account.released.dropped += bytes
	}
}

// Release gives room back that was reserved.
func (h *Holder) Release(bytes int) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.change(-int64(bytes))
}

// SetState sets what the connection is doing, which counts as progress. An idle connection holds nothing
// beside itself. It returns false if the connection had to give way before.
func (h *Holder) SetState(s State) bool {
	if h == nil {
		return true
	}
	h.Moved()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.state.Store(int32(s))
	if s == Idle {
		h.change(-h.bytes)
	}
	return !h.ended
}

// Mark sets the state of a connection whose request is running, between Running and Writing. It takes no
// lock, as it is called for each piece of a stream.
func (h *Holder) Mark(s State) {
	if h != nil {
		h.Moved()
		h.state.Store(int32(s))
	}
}

// Moved records that a byte was read or written.
func (h *Holder) Moved() {
	if h != nil {
		h.moved.Store(int64(time.Since(h.account.began)))
	}
}
