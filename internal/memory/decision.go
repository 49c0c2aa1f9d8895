// Package memory accounts for the memory and the descriptors that a process holds for others: callers,
// peers, operators and endpoints. Each connection is a holder in one account. The account decides who is
// admitted, and whose connection is given up so that there is room for others.
package memory

import (
	"cmp"
	"slices"
	"time"
)

// Class is a kind of connection.
type Class int

// Values of Class.
const (
	Callers Class = iota
	Peers
	Operators
	// Endpoints are connections that the process opens.
	Endpoints
	classCount
)

// String returns the name of the class in log lines and metrics.
func (c Class) String() string {
	return [...]string{"callers", "peers", "operators", "endpoints"}[c]
}

// State says what a connection is doing.
type State int32

// Values of State.
const (
	// Idle means that no request is in progress.
	Idle State = iota
	// Reading means that a request is being read. It has not run.
	Reading
	// Running means that a request is being handled, or that the connection is carried for a peer.
	Running
	// Writing means that the other side is sent a response and may not be reading it.
	Writing
)

// String returns the name of the state in log lines.
func (s State) String() string { return [...]string{"idle", "reading", "running", "writing"}[s] }

const (
	// SmallBytes is the size up to which what is held for one connection may use the whole account.
	// Larger ones get largeShare of it, so that ordinary requests, of a few KB, find room.
	SmallBytes = 128 << 10
	// releasedShare is the part, one in so many, of the bytes of an account that may have been released and
	// not been collected beside a full account.
	releasedShare = 2
	// largeShare is that part, as a fraction of largeShareOf.
	largeShare, largeShareOf = 3, 4
	// quietReading is the time without a byte after which a request that is being read gives way
	// before others. Callers on a working network send a byte every few milliseconds.
	quietReading = time.Second
	// quietWriting is the time without a byte taken after which a response gives way. It has run, so
	// the time is long enough for a lost packet to be sent again several times.
	quietWriting = 3 * time.Second
	// quietIdle is the time without a byte after which an idle connection gives way. The first request on a
	// new connection is on its way, and a close would lose it.
	quietIdle = 200 * time.Millisecond
	// freeDescriptors is the part, one in so many, of the descriptors that inbound connections leave
	// free: for the platform, the log and files.
	freeDescriptors = 8
)

// shareOf is the part of the descriptors, in sixteenths, that the connections of a class may have. A
// request of a caller needs a second descriptor for the endpoint; a carried connection of a peer, too.
var shareOf = [classCount]int{Callers: 7, Peers: 4, Operators: 1, Endpoints: 16}

// Limits bound an account; 0 means no limit.
type Limits struct {
	Bytes       int64
	Descriptors int
}

// Holding is what a decision needs to know of a holder.
type Holding struct {
	Class Class
	State State
	Bytes int64
	// Quiet is the time since the last byte was read or written.
	Quiet time.Duration
}

// Totals are the sums over all holders.
type Totals struct {
	Bytes       int64
	Connections [classCount]int
}

// Descriptors returns the number of connections.
func (t Totals) Descriptors() (n int) {
	for _, c := range t.Connections {
		n += c
	}
	return n
}

// Ask is a wish to hold more.
type Ask struct {
	Class Class
	// Held are the bytes that the asker holds already, and Bytes those that it asks for.
	Held, Bytes int64
	// Connection is set if the asker is a new connection.
	Connection bool
}

// Shortage says what there is too little of; "" means that there is room.
type Shortage string

// Values of Shortage.
const (
	Enough            Shortage = ""
	TooFewBytes       Shortage = "memory"
	TooFewDescriptors Shortage = "descriptors"
)

// Check returns what an ask lacks.
func Check(l Limits, t Totals, ask Ask) Shortage {
	if l.Bytes > 0 && ask.Bytes > 0 && t.Bytes+ask.Bytes > l.bytesFor(ask) {
		return TooFewBytes
	}
	if l.Descriptors > 0 && ask.Connection {
		if t.Connections[ask.Class] >= l.connections(ask.Class) || t.Descriptors() >= l.inbound() {
			return TooFewDescriptors
		}
	}
	return Enough
}

// MustCollect reports whether released bytes, which are not held any more and not collected yet, must be
// freed before any more is allocated. It answers clients that come back at once: little is held for them, but
// each of their requests is new memory, and on a busy VM it comes faster than the collector frees the last one.
func MustCollect(l Limits, t Totals, released int64) bool {
	return l.Bytes > 0 && released > 0 && t.Bytes+released > l.Bytes+l.Bytes/releasedShare
}

func (l Limits) bytesFor(ask Ask) int64 {
	if ask.Held+ask.Bytes > SmallBytes {
		return l.Bytes / largeShareOf * largeShare
	}
	return l.Bytes
}

// connections returns the limit of the connections of a class, at least one.
func (l Limits) connections(c Class) int { return max(1, l.Descriptors*shareOf[c]/16) }

// inbound returns the number of connections from which on no further one is accepted.
func (l Limits) inbound() int { return max(1, l.Descriptors-l.Descriptors/freeDescriptors) }

// Decide returns which of the other holders have to give way, by their index, so that an ask finds room,
// or what there is too little of. No holder gives way then. It answers two load patterns: many clients that
// each hold what one may, and many that hold connections without using them. A request that may have run
// gives way only if its caller has not read for a time.
func Decide(l Limits, t Totals, ask Ask, others []Holding) (giveWay []int, lacks Shortage) {
	lacks = Check(l, t, ask)
	if lacks == Enough {
		return nil, Enough
	}
	// A connection of another class doesn't make room within the asker's class.
	full := lacks == TooFewDescriptors && t.Connections[ask.Class] >= l.connections(ask.Class)
	first := -1
	for i, h := range others {
		if givesWay(h, ask, lacks) && (!full || h.Class == ask.Class) && (first < 0 || compare(h, others[first]) < 0) {
			first = i
		}
	}
	if first < 0 {
		return nil, lacks
	}
	// One is mostly enough, and is found without sorting: connections may come by the thousand.
	if Check(l, t.without(others[first]), ask) == Enough {
		return []int{first}, Enough
	}
	return decideMany(l, t, ask, others, lacks)
}

// decideMany is Decide for asks that one holder does not make room for.
func decideMany(l Limits, t Totals, ask Ask, others []Holding, lacks Shortage) (giveWay []int, _ Shortage) {
	order := make([]int, 0, len(others))
	for i, h := range others {
		if givesWay(h, ask, lacks) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return compare(others[a], others[b]) })
	for _, i := range order {
		h := others[i]
		if lacks == TooFewDescriptors && h.Class != ask.Class && t.Connections[ask.Class] >= l.connections(ask.Class) {
			continue
		}
		giveWay = append(giveWay, i)
		t = t.without(h)
		if lacks = Check(l, t, ask); lacks == Enough {
			return giveWay, Enough
		}
	}
	return nil, lacks
}

// without returns the totals without a holder.
func (t Totals) without(h Holding) Totals {
	t.Bytes -= h.Bytes
	t.Connections[h.Class]--
	return t
}

// givesWay reports whether a holder may be given up for an ask.
func givesWay(h Holding, ask Ask, lacks Shortage) bool {
	switch h.State {
	case Idle:
		return h.Class != Endpoints && h.Quiet >= quietIdle
	case Reading:
		// A request that still arrives gives way to smaller ones alone, so that they don't end each other.
		return h.Quiet >= quietReading || lacks == TooFewBytes && h.Bytes > ask.Held+ask.Bytes
	case Writing:
		return h.Quiet >= quietWriting
	case Running:
	}
	return false
}

// Ranks order the holders by how little is lost when one gives way.
const (
	// stuck is a request that has stopped arriving.
	stuck = iota
	// arriving is a request that still arrives. Its caller gets an answer, and may send it again.
	arriving
	// idle is a connection without a request. If the next one is on its way, its caller can't know that it
	// has not run.
	idle
	// stalled is a response that is not read.
	stalled
)

// rank returns the rank of a holder that gives way.
func (h Holding) rank() int {
	switch {
	case h.State == Reading && h.Quiet >= quietReading:
		return stuck
	case h.State == Reading:
		return arriving
	case h.State == Idle:
		return idle
	}
	return stalled
}

// compare orders holders by who gives way first: those that still arrive by size, others by how long they
// have been quiet.
func compare(a, b Holding) int {
	if c := cmp.Compare(a.rank(), b.rank()); c != 0 {
		return c
	}
	if a.rank() == arriving {
		return cmp.Compare(b.Bytes, a.Bytes)
	}
	return cmp.Compare(b.Quiet, a.Quiet)
}
