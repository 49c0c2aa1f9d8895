// Package usage counts the requests that endpoints began to run, by workspace and window of true
// time, sums them over all gateways and decides when the sum of a window is stored and reported. It
// does no I/O.
package usage

import "time"

const (
	// MaxNameBytes bounds the name of a workspace in a message, and maxWorkspaces the workspaces of one
	// process and window: what a peer sends must not fill the memory.
	MaxNameBytes, maxWorkspaces = 256, 4096
	// maxCount bounds a count of a message; the sum over 410 gateways stays far below an int64.
	maxCount = 1 << 40
	// settleShare and graceShare say when a window's counts are final, as shares of the time until the
	// report is due. From the end of settleShare on (4.5 s of 10) a window is sealed once all gateways have
	// reported on it; that long because a request other than a stream is counted with its response. From
	// the end of graceShare on (5.5 s) it is sealed without the others: the rest is for a successor, which
	// has to wait for the end of the lease (3 s) if the holder is lost just before.
	settleShare, graceShare = 0.45, 0.55
)

// Windows are the windows in which requests are counted. Window k begins k lengths after the start of
// 1970 in true time.
type Windows struct {
	Length time.Duration
	// Due is the time after the end of a window by which its report is due.
	Due time.Duration
}

// At returns the window of an instant.
func (w Windows) At(t time.Time) int64 { return t.UnixNano() / int64(w.Length) }

// End returns the end of a window.
func (w Windows) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(w.Length)) }

// settled returns when a window may be sealed if all gateways have reported on it.
func (w Windows) settled(window int64) time.Time { return w.End(window).Add(share(w.Due, settleShare)) }

// graceEnd returns when a window is sealed without the reports that are missing.
func (w Windows) graceEnd(window int64) time.Time { return w.End(window).Add(share(w.Due, graceShare)) }

// due returns when the report of a window is due.
func (w Windows) due(window int64) time.Time { return w.End(window).Add(w.Due) }

func share(d time.Duration, of float64) time.Duration { return time.Duration(float64(d) * of) }
