package platform

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/samber/oops"
)

// eraTracker holds the highest era seen in a response. The platform raises its era each time
// it comes back from an older copy of its data: what was written after the copy is lost, and
// versions are assigned again. Versions of different eras are therefore not comparable.
type eraTracker struct {
	latest atomic.Int64
}

// observe records the era of a response. It returns false if the response is of an earlier
// era than one seen before, so that its content may have been lost since. raised is set if
// the era is higher than the known one before it, which is returned as previous.
func (t *eraTracker) observe(era int64) (previous int64, raised, current bool) {
	for {
		latest := t.latest.Load()
		switch {
		case era <= 0 || era == latest:
			return latest, false, true
		case era < latest:
			return latest, false, false
		case t.latest.CompareAndSwap(latest, era):
			return latest, latest > 0, true
		}
	}
}

// SameEra reports whether versions of two eras are comparable. An unknown era, 0, is taken for
// the same as any other.
func SameEra(a, b int64) bool { return a == 0 || b == 0 || a == b }

// eraOf returns the era stated in a response, or 0 if it states none.
func (c *Client) eraOf(header http.Header) int64 {
	dialect, ok := c.options.Dialect.(EraDialect)
	if !ok {
		return 0
	}
	era, err := strconv.ParseInt(header.Get(dialect.EraHeader()), 10, 64)
	if err != nil || era < 0 {
		return 0 // An intermediary's response, such as a 503, has no era.
	}
	return era
}

// checkEra returns the era of a response. A response of an earlier era than the latest is an
// error: it was delayed, and the platform has lost data since.
func (c *Client) checkEra(r call, header http.Header) (int64, error) {
	era := c.eraOf(header)
	previous, raised, current := c.era.observe(era)
	if !current {
		return 0, r.newError(Uncertain, oops.Errorf("response of era %d arrived after era %d began", era, previous))
	}
	if raised && c.options.OnEra != nil {
		c.options.OnEra(previous, era)
	}
	return era, nil
}
