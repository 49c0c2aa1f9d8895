package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

const (
	// crashesToBeSure is the number of crashes after which a part that crashes endpoints has to be
	// known, and maxSentLater the number of requests with it that may be sent from partContact later.
	crashesToBeSure, maxSentLater = 5, 3
	// requestCrashesToBeSure is that number for one request that comes again.
	requestCrashesToBeSure = 3
	partContact            = 3 * time.Second
	// evidenceDelay is the time within which a gateway informs the others of a crash.
	evidenceDelay = time.Second
	// minCounted is the number of requests from which a share counts, and minBegunShare the smallest
	// share of streams that begin beside a part that is known, of the share at other times.
	minCounted, minBegunShare = 20, 0.5
)

// PartCrash is the crash of an endpoint under the request with this ID, which has the part. Whole is
// set if the requests with that part are one request that comes again.
type PartCrash struct {
	ID, Part string
	Whole    bool
	At       time.Time
}

// RecordPartCrash records a crash.
func (h *History) RecordPartCrash(c PartCrash) { record(h, &h.crashes, c) }

// knownAt returns when a part with these crashes, in order of time, has to be known.
func knownAt(crashes []PartCrash) time.Time {
	return crashes[min(len(crashes), crashesNeeded(crashes))-1].At
}

// crashesNeeded returns the number of crashes after which what crashes endpoints has to be known.
func crashesNeeded(crashes []PartCrash) int {
	if crashes[0].Whole {
		return requestCrashesToBeSure
	}
	return crashesToBeSure
}

// crashesByPart returns the crashes of which all gateways can know, without those under requests of
// gateways that were cut from the others.
func (h *History) crashesByPart() map[string][]PartCrash {
	gateways := make(map[string]int, len(h.attempts))
	for _, a := range h.attempts {
		gateways[a.ID] = a.Gateway
	}
	known := lo.Filter(h.crashes, func(c PartCrash, _ int) bool {
		gateway, sent := gateways[c.ID]
		return !sent || !h.overlapsFault(c.At, c.At.Add(evidenceDelay), func(s Span) bool { return s.Kind == CutFromPeers && s.affectsGateway(gateway) })
	})
	parts := lo.GroupBy(known, func(c PartCrash) string { return c.Part })
	for _, crashes := range parts {
		slices.SortFunc(crashes, func(a, b PartCrash) int { return a.At.Compare(b.At) })
	}
	return parts
}

// deadlyParts verifies that undisturbed gateways send no more than maxSentLater requests with a part
// that has to be known.
func (h *History) deadlyParts(sent map[string]Attempt) (found []string) {
	for part, crashes := range h.crashesByPart() {
		later := lo.Filter(crashes, func(c PartCrash, _ int) bool {
			a, known := sent[c.ID]
			return len(crashes) >= crashesNeeded(crashes) && known && a.Sent.After(knownAt(crashes).Add(partContact)) && h.undisturbed(a)
		})
		if len(later) > maxSentLater {
			found = append(found, fmt.Sprintf("%d requests with %s were sent on after its crash number %d at %s, the last one %s; %d crashes in all",
				len(later), part, crashesNeeded(crashes), knownAt(crashes).Format(timeFormat), later[len(later)-1].ID, len(crashes)))
		}
	}
	slices.Sort(found)
	return found
}

// lostBesideDeadlyParts verifies that streams begin at undisturbed gateways nearly as often while
// requests with a known part still come as when there is no fault.
func (h *History) lostBesideDeadlyParts() []string {
	parts := h.crashesByPart()
	var sentBeside, begunBeside, sentElse, begunElse int
	for _, a := range h.attempts {
		if a.Kind != routetable.Streaming || a.Resumes != "" || a.Key != h.SteadyKey || a.Part != "" || h.overlapsStall(a) {
			continue
		}
		begun := lo.Ternary(a.Events > 0, 1, 0)
		recent := a.Sent.Add(-recoveryTime)
		switch {
		case !h.overlapsFault(recent, a.Ended, func(Span) bool { return true }):
			sentElse++
			begunElse += begun
		case !h.overlapsFault(recent, a.Ended, func(s Span) bool { return s.Kind != DeadlyPart && s.Kind != DeadlyRequest && !s.Kind.Planned() }) && h.besideKnownParts(a, parts):
			sentBeside++
			begunBeside += begun
		}
	}
	if sentBeside < minCounted || sentElse < minCounted || float64(begunBeside)*float64(sentElse) >= minBegunShare*float64(begunElse)*float64(sentBeside) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d streams began beside parts that crash endpoints, %d of %d without a fault", begunBeside, sentBeside, begunElse, sentElse)}
}

// besideKnownParts reports whether an attempt overlaps a fault of a part, and each part that has
// crashed endpoints by then has been known for twice partContact.
func (h *History) besideKnownParts(a Attempt, parts map[string][]PartCrash) bool {
	for _, crashes := range parts {
		if crashes[0].At.Before(a.Ended) && a.Sent.Before(knownAt(crashes).Add(2*partContact)) {
			return false
		}
	}
	return len(parts) > 0 && h.overlapsFault(a.Sent, a.Ended, func(s Span) bool { return s.Kind == DeadlyPart })
}
