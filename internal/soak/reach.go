package soak

import (
	"fmt"
	"net/http"
	"time"
)

// reachContact is how long after a gateway was cut from the endpoints the users' rule holds.
const reachContact = 3 * time.Second

// ReachCounts are the requests at gateways that are cut from all endpoints, and at the others
// meanwhile.
type ReachCounts struct{ CutSent, CutServed, OtherSent, OtherServed int }

// ReachCounts counts the requests that were sent reachContact after a gateway was cut from the
// endpoints, and until then.
func (h *History) ReachCounts() (c ReachCounts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		anyCut, cut := false, false
		for _, s := range h.spans {
			if s.Kind == CutFromEndpoints && a.Sent.After(s.Started.Add(reachContact)) && a.Sent.Before(s.Ended) {
				anyCut, cut = true, cut || s.Index == a.Gateway
			}
		}
		served := 0
		if a.Status == http.StatusOK && a.Complete {
			served = 1
		}
		switch {
		case cut:
			c.CutSent, c.CutServed = c.CutSent+1, c.CutServed+served
		case anyCut:
			c.OtherSent, c.OtherServed = c.OtherSent+1, c.OtherServed+served
		}
	}
	return c
}

// Violations returns what the users' rule on gateways that reach no endpoint forbids: that their
// requests are served less than two thirds as often as those of others, and more than 10 and one in
// 50 of all fail there.
func (c ReachCounts) Violations() []string {
	failed, all := c.CutSent-c.CutServed, c.CutSent+c.OtherSent
	if c.CutServed*c.OtherSent*3 < c.OtherServed*c.CutSent*2 && failed > 10+all/50 {
		return []string{fmt.Sprintf("cut gateways served %d of %d, the others %d of %d", c.CutServed, c.CutSent, c.OtherServed, c.OtherSent)}
	}
	return nil
}
