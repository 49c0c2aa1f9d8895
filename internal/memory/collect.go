package memory

import (
	"runtime"
	"time"
	"weak"
)

const (
	// dropTimeout bounds the wait until connections that had to give way have dropped what they held. They
	// are woken at once, and need a turn of the processor.
	dropTimeout = time.Second
	// dropPoll is the time between two looks during that wait.
	dropPoll = 2 * time.Millisecond
)

// released sums up bytes that are not held any more, and knows how many of them the collector has freed.
type released struct {
	// referred are bytes that had to give way and that their connections may still refer to.
	referred int64
	// dropped is the sum of all bytes to which nothing refers any more, and freed how many of them are
	// collected. Both grow for the life of the process.
	dropped, freed int64
	// beforeMarker is what had been dropped when the last cycleMarker was made. The collection that frees
	// the marker began later, and frees it, too.
	beforeMarker int64
	// collections counts those that the account has started.
	collections int64
	// collecting is closed at the end of a collection that the account has started; nil if there is none.
	collecting chan struct{}
}

// bytes returns the bytes that are not held any more and may not be free yet.
func (r *released) bytes() int64 { return r.referred + r.dropped - r.freed }

// awaitCollected waits until there is memory for what has been admitted, and reports whether there is. It
// starts a collection if need be, so that the memory of the process stays bounded on a VM of any speed.
func (a *Account) awaitCollected(limits Limits, asker *Holder) bool {
	var end time.Time
	for {
		a.mu.Lock()
		if !MustCollect(limits, a.totals, a.released.bytes()) {
			a.mu.Unlock()
			return true
		}
		if asker.ended {
			a.mu.Unlock()
			return false
		}
		if collecting := a.released.collecting; collecting != nil {
			a.mu.Unlock()
			<-collecting
			continue
		}
		if a.released.dropped > a.released.freed {
			a.collect()
			continue
		}
		a.mu.Unlock()
		// All that was dropped is freed; others still refer to what they have given up.
		if end.IsZero() {
			end = time.Now().Add(dropTimeout)
		}
		if time.Now().After(end) {
			return false
		}
		time.Sleep(dropPoll)
	}
}

// collect frees all that has been dropped. The lock is held at the call, and is released.
func (a *Account) collect() {
	done, dropped := make(chan struct{}), a.released.dropped
	a.released.collecting = done
	a.released.collections++
	a.mu.Unlock()
	runtime.GC()
	a.mu.Lock()
	a.released.freed = max(a.released.freed, dropped)
	a.released.collecting = nil
	a.mu.Unlock()
	close(done)
}

// cycleMarker is an object without references. Its cleanup shows that a collection has ended that began after
// it was made: one that is made while a collection marks survives that.
type cycleMarker struct{ _ *cycleMarker }

// watchCollections notes what the runtime's own collections free, for the life of the account.
func (a *Account) watchCollections() {
	runtime.AddCleanup(&cycleMarker{}, func(account weak.Pointer[Account]) {
		if a := account.Value(); a != nil {
			a.noteCollection()
			a.watchCollections()
		}
	}, weak.Make(a))
}

func (a *Account) noteCollection() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released.freed = max(a.released.freed, a.released.beforeMarker)
	a.released.beforeMarker = a.released.dropped
}
