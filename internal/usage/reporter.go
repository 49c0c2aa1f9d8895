package usage

import (
	"maps"
	"time"

	"github.com/primrosewell/primrosewell/internal/duty"
)

const (
	// checkpointInterval is the time between two writes of the counts so far. A loss of all gateways that
	// have the counts costs what was counted within it; each write has a price.
	checkpointInterval = time.Second
	// storeRetry is the delay after a failed call to the platform's store, and sendRetry the one after a
	// report that failed, which doubles up to maxSendRetry.
	storeRetry, sendRetry, maxSendRetry = 250 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second
)

// ActionKind is what the holder of the duty has to do.
type ActionKind int

// Values of ActionKind.
const (
	// Wait means that there is nothing to do now.
	Wait ActionKind = iota
	// Read means to read the record; pass the result to Loaded.
	Read
	// Write means to write the record at Version, or to create it if that is 0; pass the result to
	// Written, Refused or Doubtful.
	Write
	// Send means to send the report of a window; pass the result to Sent or NotSent.
	Send
)

// Action is one step of the holder.
type Action struct {
	Kind    ActionKind
	Version int64
	Record  Record
	Window  int64
	Counts  map[string]int64
}

// NoticeKind is the kind of a notice.
type NoticeKind string

// Values of NoticeKind.
const (
	// SumStored means that the final sum of a window is stored at the platform.
	SumStored NoticeKind = "stored"
	// SumFound means that the platform's record holds a final sum that this gateway did not know.
	SumFound NoticeKind = "found"
	// WindowMissed means that the final sum of a window could not be stored before its report was due.
	WindowMissed NoticeKind = "missed"
	// WindowsSkipped means that windows up to this one are left out, as a sum of them may have been
	// reported and lost by the platform since.
	WindowsSkipped NoticeKind = "skipped"
	// SumsDiffer means that the platform holds another sum than this gateway knows.
	SumsDiffer NoticeKind = "differ"
)

// Notice is an event for the log and for the other gateways.
type Notice struct {
	Kind   NoticeKind
	Window int64
	Counts map[string]int64
}

// windowSum is the final sum of a window.
type windowSum struct {
	counts map[string]int64
	// final is set once the sum has certainly been stored, and never changes then. Before, it is a
	// proposal.
	final bool
	// stored is set while the platform's record holds the sum, as far as is known.
	stored  bool
	sent    bool
	retryAt time.Time
	tries   int
}

// Reporter decides what the holder of the duty does. A sum is sent only after a conditional write of
// the record has made it final. It is used by one goroutine.
type Reporter struct {
	windows Windows
	totals  *Totals

	holding   bool
	epoch     int64
	heldSince time.Time
	// loaded is set while version and era are those of the record as last read or written, and
	// trusted once the record was read since this gateway got the duty.
	loaded, trusted bool
	version, era    int64
	retryAt         time.Time
	writtenAt       time.Time
	writtenChanges  int64
	sentChanged     bool
	// writing is the state as of a write in progress.
	writing struct {
		windows []int64
		changes int64
		at      time.Time
	}
	sums map[int64]*windowSum
	// floor is the last window for which no sum is made any more.
	floor   int64
	notices []Notice
}

// NewReporter returns a reporter of the sums of totals.
func NewReporter(windows Windows, totals *Totals) *Reporter {
	return &Reporter{windows: windows, totals: totals, sums: make(map[int64]*windowSum)}
}

// Notices returns the notices since the last call.
func (r *Reporter) Notices() []Notice {
	notices := r.notices
	r.notices = nil
	return notices
}

func (r *Reporter) note(kind NoticeKind, window int64, counts map[string]int64) {
	r.notices = append(r.notices, Notice{kind, window, counts})
}

// Next returns what to do now, in true time. It is called at intervals also while the duty is not held. held tells whether this gateway holds the duty, with the
// grant; expected is the number of gateways, this one included, that report.
func (r *Reporter) Next(now time.Time, grant duty.Grant, held bool, expected int) Action {
	r.learn()
	maps.DeleteFunc(r.sums, func(window int64, _ *windowSum) bool { return r.windows.due(window).Add(r.windows.Due).Before(now) })
	if !held {
		r.holding, r.loaded = false, false
		return Action{}
	}
	if !r.holding || r.epoch != grant.Epoch {
		r.begin(now, grant.Epoch)
	}
	r.giveUp(now)
	if !r.loaded {
		if now.Before(r.retryAt) {
			return Action{}
		}
		return Action{Kind: Read}
	}
	for _, window := range sortedKeys(r.sums) {
		if s := r.sums[window]; s.final && s.stored && !s.sent && !now.Before(s.retryAt) {
			return Action{Kind: Send, Window: window, Counts: s.counts}
		}
	}
	r.seal(now, expected)
	if now.Before(r.retryAt) || !r.mustWrite(now) {
		return Action{}
	}
	return r.write(now)
}

// learn takes over final sums that other gateways have announced.
func (r *Reporter) learn() {
	for window, counts := range r.totals.Sealed() {
		if s := r.sums[window]; s == nil || !s.final {
			r.sums[window] = &windowSum{counts: counts, final: true}
		}
	}
}

// begin starts a period in which this gateway holds the duty. Proposals of an earlier one are dropped:
// another holder may have made other sums since.
func (r *Reporter) begin(now time.Time, epoch int64) {
	r.holding, r.epoch, r.heldSince = true, epoch, now
	r.loaded, r.trusted = false, false
	r.retryAt = time.Time{}
	maps.DeleteFunc(r.sums, func(_ int64, s *windowSum) bool { return !s.final })
	for _, s := range r.sums {
		s.retryAt, s.tries = time.Time{}, 0
	}
	r.floor = r.windows.At(now.Add(-r.windows.Due)) - 1
}

// giveUp gives up windows without a sum whose report is due.
func (r *Reporter) giveUp(now time.Time) {
	for ; !r.windows.due(r.floor + 1).After(now); r.floor++ {
		if s := r.sums[r.floor+1]; s == nil || !s.final {
			delete(r.sums, r.floor+1)
			r.note(WindowMissed, r.floor+1, nil)
		}
	}
}

// seal proposes the sums of the windows whose counts are final.
func (r *Reporter) seal(now time.Time, expected int) {
	for window := r.floor + 1; !r.windows.settled(window).After(now); window++ {
		if r.sums[window] != nil {
			continue
		}
		over := !r.windows.graceEnd(window).After(now) && r.totals.CaughtUp(now)
		if over || r.totals.Complete(now, window, expected) {
			r.sums[window] = &windowSum{counts: r.totals.Sums(window)}
		}
	}
}

func (r *Reporter) mustWrite(now time.Time) bool {
	for _, s := range r.sums {
		if !s.stored {
			return true
		}
	}
	if r.version == 0 {
		return true // Until there is a record, a successor can't tell whether there was one.
	}
	return now.Sub(r.writtenAt) >= checkpointInterval && (r.sentChanged || r.totals.Changes() != r.writtenChanges)
}

func (r *Reporter) write(now time.Time) Action {
	record := Record{Era: r.era}
	r.writing.windows, r.writing.changes, r.writing.at = sortedKeys(r.sums), r.totals.Changes(), now
	for _, window := range r.writing.windows {
		s := r.sums[window]
		record.Sealed = append(record.Sealed, SealedWindow{Window: window, Sent: s.sent, Counts: s.counts})
	}
	record.Open = r.totals.openCounts(func(window int64) bool { return r.sums[window] == nil && window > r.floor })
	return Action{Kind: Write, Version: r.version, Record: record}
}

// Loaded takes over the record that was read at a version, or 0 if there is none, in an era of the
// platform. readable is false if it can't be decoded.
func (r *Reporter) Loaded(now time.Time, era, version int64, record Record, readable bool) {
	lost := version == 0 || !readable || era > record.Era
	if lost && !r.trusted {
		// An earlier holder may have stored and sent sums that the platform has lost since.
		if last := r.lastSettled(r.heldSince); last > r.floor {
			r.floor = last
			r.note(WindowsSkipped, last, nil)
		}
	}
	r.loaded, r.trusted, r.version, r.era = true, true, version, era
	for _, s := range r.sums {
		s.stored = false
	}
	for _, found := range record.Sealed {
		r.adopt(now, found)
	}
	r.totals.restore(now, record.Open)
}

// lastSettled returns the last window that may have been sealed at t.
func (r *Reporter) lastSettled(t time.Time) int64 {
	return r.windows.At(t.Add(-share(r.windows.Due, settleShare))) - 1
}

// adopt takes over a sum of the record. One that this gateway knows to be final stays, unless the other
// one was sent.
func (r *Reporter) adopt(now time.Time, found SealedWindow) {
	if r.windows.due(found.Window).Add(r.windows.Due).Before(now) {
		return
	}
	s := r.sums[found.Window]
	if s == nil || !s.final {
		r.sums[found.Window] = &windowSum{counts: found.Counts, final: true, stored: true, sent: found.Sent}
		r.note(SumFound, found.Window, found.Counts)
		return
	}
	if maps.Equal(s.counts, found.Counts) {
		s.stored, s.sent = true, s.sent || found.Sent
		return
	}
	r.note(SumsDiffer, found.Window, found.Counts)
	if found.Sent && !s.sent {
		r.sums[found.Window] = &windowSum{counts: found.Counts, final: true, stored: true, sent: true}
	}
}

// ReadFailed records that the record could not be read.
func (r *Reporter) ReadFailed(now time.Time) { r.retryAt = now.Add(storeRetry) }

// Written records that the write took effect, at a version.
func (r *Reporter) Written(version int64) {
	r.version, r.writtenAt, r.writtenChanges, r.sentChanged = version, r.writing.at, r.writing.changes, false
	for _, window := range r.writing.windows {
		s := r.sums[window]
		if s == nil {
			continue
		}
		if !s.final {
			r.note(SumStored, window, s.counts)
		}
		s.final, s.stored = true, true
	}
}

// Refused records that the write certainly had and will have no effect.
func (r *Reporter) Refused(now time.Time) { r.retryAt = now.Add(storeRetry) }

// Doubtful records that the write may have taken effect or may still do so, or that the record has
// another version: it is read before anything is sent. A write that takes effect later changes the
// version, so that the next one fails.
func (r *Reporter) Doubtful(now time.Time) {
	r.loaded = false
	r.retryAt = now.Add(storeRetry)
}

// Sent records that the platform has accepted the report of a window.
func (r *Reporter) Sent(window int64) {
	if s := r.sums[window]; s != nil {
		s.sent = true
		r.sentChanged = true
	}
}

// NotSent records that the report of a window failed; it is sent again, as it is.
func (r *Reporter) NotSent(now time.Time, window int64) {
	if s := r.sums[window]; s != nil {
		s.retryAt = now.Add(min(maxSendRetry, sendRetry<<min(s.tries, 4)))
		s.tries++
	}
}
