// Package check verifies recorded decisions of a pool against the rule in
// docs/design/scheduling.md: tier order, floors, shedding, and one end for each ask.
package check

import (
	"fmt"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// Limits of the rule.
const (
	// FloorCredit is how many dispatches a class may have saved up by its floor, and
	// so how many it may take ahead of a higher tier beyond its share.
	FloorCredit = 4
	// ReservedPlaces is how many asks of each class may wait while a higher tier is shed.
	ReservedPlaces = 4
)

var (
	_ scheduling.Recorder           = (*History)(nil)
	_ scheduling.SubmissionRecorder = (*History)(nil)
)

// Rule names a part of the rule.
type Rule string

const (
	// OneEnd says that each ask ends exactly once, and only after it was submitted.
	OneEnd Rule = "one_end"
	// TierShed says that the victim of shedding is of the lowest tier present.
	TierShed Rule = "tier_shed"
	// TierOrder says that while a tier waits, lower tiers get no more than their floors.
	TierOrder Rule = "tier_order"
	// Floor says that a class that waits gets its floor of the dispatches.
	Floor Rule = "floor"
)

// Violation is a breach of the rule.
type Violation struct {
	Rule  Rule
	At    time.Time
	AskID string
	// Detail says what was found and what is allowed.
	Detail string
}

// event is a submission (decision is nil) or a decision.
type event struct {
	at       time.Time
	ask      routing.PermitRequest
	decision *scheduling.Decision
}

// History records what happened to one pool, in order. It implements
// scheduling.Recorder and scheduling.SubmissionRecorder. All methods may be called concurrently.
type History struct {
	mu     sync.Mutex
	events []event
}

// Submitted implements scheduling.SubmissionRecorder.
func (h *History) Submitted(at time.Time, ask routing.PermitRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event{at: at, ask: ask})
}

// Record implements scheduling.Recorder.
func (h *History) Record(decision scheduling.Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event{at: decision.At, ask: decision.Request, decision: &decision})
}

// Verify returns the breaches of the rule. If ended is true, an ask that still
// waits at the end of the history is one.
func (h *History) Verify(ended bool) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := newVerifier(h.events)
	for _, e := range h.events {
		v.apply(e)
	}
	if ended {
		v.requireEnds()
	}
	return v.violations
}

// classState follows one class through the history.
type classState struct {
	name    string
	tier    catalog.Tier
	floor   float64
	waiting int
	// free counts the waiting asks that any endpoint may take.
	free int
	// owed is the largest shortfall against the floor since the class last began to wait.
	owed float64
}

// verifier holds the state of one verification.
type verifier struct {
	classes map[string]*classState
	// scale reduces the floors if they sum to more than the whole.
	scale float64
	open  map[string]routing.PermitRequest
	// parked holds the asks that the placer held back for a reason of their own.
	parked map[string]bool
	// passed is, for each tier, how far lower tiers are ahead of their floors.
	passed     map[catalog.Tier]float64
	violations []Violation
}

func newVerifier(events []event) *verifier {
	v := &verifier{
		classes: map[string]*classState{},
		open:    map[string]routing.PermitRequest{},
		parked:  map[string]bool{},
		passed:  map[catalog.Tier]float64{},
	}
	total := 0.0
	for _, e := range events {
		if e.decision != nil && e.decision.Parked {
			v.parked[e.ask.ID] = true
		}
		if _, ok := v.classes[e.ask.Class]; ok {
			continue
		}
		floor := e.ask.FloorPercent / 100
		v.classes[e.ask.Class] = &classState{name: e.ask.Class, tier: e.ask.Tier, floor: floor}
		total += floor
	}
	v.scale = 1 / max(1, total)
	return v
}

func (v *verifier) report(rule Rule, at time.Time, askID, format string, args ...any) {
	v.violations = append(v.violations, Violation{
		Rule: rule, At: at, AskID: askID, Detail: fmt.Sprintf(format, args...),
	})
}

func (v *verifier) apply(e event) {
	if e.decision == nil {
		v.submit(e)
		return
	}
	if e.decision.Reason == scheduling.ReasonDuplicate {
		return
	}
	if _, ok := v.open[e.ask.ID]; !ok {
		v.report(OneEnd, e.at, e.ask.ID, "decided without being open")
		return
	}
	v.close(e.ask)
	if e.decision.Kind == scheduling.Granted {
		v.granted(e)
		return
	}
	v.refused(e)
}

func (v *verifier) submit(e event) {
	if _, ok := v.open[e.ask.ID]; ok {
		return
	}
	v.open[e.ask.ID] = e.ask
	c := v.classes[e.ask.Class]
	if v.tierWaits(c.tier) == 0 {
		v.passed[c.tier] = 0
	}
	c.waiting++
	if v.unconstrained(e.ask) {
		if c.free == 0 {
			c.owed = 0
		}
		c.free++
	}
}

func (v *verifier) close(ask routing.PermitRequest) {
	delete(v.open, ask.ID)
	c := v.classes[ask.Class]
	c.waiting--
	if v.unconstrained(ask) {
		c.free--
	}
}

// unconstrained reports whether any free endpoint may take ask.
func (v *verifier) unconstrained(ask routing.PermitRequest) bool {
	return !ask.Suspect && len(ask.Avoid) == 0 && !v.parked[ask.ID]
}

// tierWaits counts the waiting asks of a tier that any endpoint may take.
func (v *verifier) tierWaits(tier catalog.Tier) int {
	total := 0
	for _, c := range v.classes {
		if c.tier == tier {
			total += c.free
		}
	}
	return total
}

func (v *verifier) granted(e event) {
	v.checkOrder(e)
	v.checkFloors(e)
}

func (v *verifier) checkOrder(e event) {
	for tier := catalog.HighestTier; tier < catalog.LowestTier; tier++ {
		if v.tierWaits(tier) == 0 {
			continue
		}
		share, classes := v.lowerFloors(tier)
		v.passed[tier] = max(0, v.passed[tier]-share)
		if e.ask.Tier > tier {
			v.passed[tier]++
		}
		if limit := float64(classes * (FloorCredit + 1)); v.passed[tier] > limit {
			v.report(TierOrder, e.at, e.ask.ID,
				"lower tiers are %.1f dispatches ahead of their floors while tier %d waits; at most %.0f are allowed",
				v.passed[tier], tier, limit)
			v.passed[tier] = 0
		}
	}
}

// lowerFloors sums the floors of the classes below a tier, and counts them.
func (v *verifier) lowerFloors(tier catalog.Tier) (share float64, classes int) {
	for _, c := range v.classes {
		if c.tier > tier {
			share += c.floor * v.scale
			classes++
		}
	}
	return share, classes
}

func (v *verifier) checkFloors(e event) {
	limit := float64(len(v.classes) + 2)
	for _, c := range v.classes {
		if c.name == e.ask.Class {
			c.owed = max(0, c.owed+c.floor*v.scale-1)
			continue
		}
		if c.free == 0 {
			continue
		}
		c.owed += c.floor * v.scale
		if c.owed > limit {
			v.report(Floor, e.at, e.ask.ID, "class %s is owed %.1f dispatches; at most %.0f are allowed", c.name, c.owed, limit)
			c.owed = 0
		}
	}
}

func (v *verifier) refused(e event) {
	reason := e.decision.Reason
	if reason != scheduling.ReasonShed && reason != scheduling.ReasonQueueFull {
		return
	}
	for _, c := range v.classes {
		if c.tier > e.ask.Tier && c.waiting > ReservedPlaces {
			v.report(TierShed, e.at, e.ask.ID, "tier %d was shed while %d asks of class %s, tier %d, wait",
				e.ask.Tier, c.waiting, c.name, c.tier)
		}
	}
}

func (v *verifier) requireEnds() {
	for id := range v.open {
		v.report(OneEnd, time.Time{}, id, "never decided")
	}
}
