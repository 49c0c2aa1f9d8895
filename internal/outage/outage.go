// Package outage decides which failed reads show an outage of the platform, in which entries of live
// endpoints may expire. It performs no I/O and reads no clock.
package outage

import "time"

// minExpiry is the shortest outage in which an entry expires: it is removed after three reports that
// are missing, of which the first may have been due when the outage began.
const minExpiry = 2 * time.Second

// listTimeouts are the timeouts of each call of an attempt to list, used in rotation by attempts
// that follow silent ones; a list may take many calls. Most are short, because a platform that is
// available again responds to the next attempt; a slow platform needs the long one.
var listTimeouts = [...]time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second}

// Judge judges the reads of one collection. It is not safe for concurrent use.
type Judge struct {
	answeredAt time.Time
	// silent counts the lists without a response since the last answer.
	silent int
}

// Answered records that the platform has answered a read.
func (j *Judge) Answered(now time.Time) { j.answeredAt, j.silent = now, 0 }

// ListTimeout returns the timeout of each call of the next attempt to list. A refusal comes at once
// and does not make it longer.
func (j *Judge) ListTimeout() time.Duration { return listTimeouts[j.silent%len(listTimeouts)] }

// ListFailed records that a list failed, and reports whether that shows an outage. silent is set if
// the connection was open and no response came in time: the connection alone may have fallen silent,
// so that it counts only once the platform has not answered for long enough.
func (j *Judge) ListFailed(now time.Time, silent bool) bool {
	if !silent {
		return true
	}
	j.silent++
	return now.Sub(j.answeredAt) >= minExpiry
}
