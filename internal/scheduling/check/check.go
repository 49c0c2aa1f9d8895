// Package check verifies the recorded decisions of a pool against the scheduling policy
// in docs/design/scheduling.md: tier order, floors, shedding, and exactly one decision
// for each request.
package check

import (
	"fmt"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// Limits of the scheduling policy.
const (
	// FloorCredit is the number of dispatches that a class can accumulate through its
	// floor, and so the number that it may take before a higher tier beyond its share.
	FloorCredit = 4
	// ReservedPlaces is the number of requests of each class that may wait while a
	// higher tier is shed.
	ReservedPlaces = 4
)

var (
	_ scheduling.Recorder           = (*History)(nil)
	_ scheduling.SubmissionRecorder = (*History)(nil)
)

// Rule identifies a rule of the scheduling policy.
type Rule string

const (
	// OneDecision requires exactly one decision for each request, after its submission.
	OneDecision Rule = "one_end"
	// TierShed requires that only requests of the lowest tier present are shed.
	TierShed Rule = "tier_shed"
	// TierOrder requires that lower tiers get no more than their floors while a tier waits.
	TierOrder Rule = "tier_order"
	// Floor requires that a waiting class gets its guaranteed share of the dispatches.
	Floor Rule = "floor"
)

// Violation is a breach of a rule.
type Violation struct {
	Rule      Rule
	At        time.Time
	AttemptID string
	// Detail describes what was found and what is allowed.
	Detail string
}

// event is a submission, with a nil decision, or a decision.
type event struct {
	at       time.Time
	request  routing.PermitRequest
	decision *scheduling.Decision
}

// History records the submissions and decisions of one pool, in order. It implements
// scheduling.Recorder and scheduling.SubmissionRecorder. All methods may be called concurrently.
type History struct {
	mu     sync.Mutex
	events []event
}

// Submitted implements scheduling.SubmissionRecorder.
func (h *History) Submitted(at time.Time, request routing.PermitRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event{at: at, request: request})
}

// Record implements scheduling.Recorder.
func (h *History) Record(decision scheduling.Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event{at: decision.At, request: decision.Request, decision: &decision})
}

// Verify returns the violations in the history. If complete is true, a request that is
// still waiting at the end of the history is a violation.
func (h *History) Verify(complete bool) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := newVerifier(h.events)
	for _, e := range h.events {
		v.apply(e)
	}
	if complete {
		v.requireAllDecided()
	}
	return v.violations
}

// classState is the state of one class at a point of the history.
type classState struct {
	name    string
	tier    catalog.Tier
	floor   float64
	waiting int
	// unconstrained counts the waiting requests that any endpoint may take.
	unconstrained int
	// floorDeficit is the number of dispatches by which the class is behind its floor
	// since it last began to wait.
	floorDeficit float64
}

// verifier holds the state of one verification.
type verifier struct {
	classes map[string]*classState
	// floorScale reduces the floors proportionally if their sum exceeds 1.
	floorScale float64
	undecided  map[string]routing.PermitRequest
	// parked holds the attempts that were parked at some time: the placer could place
	// others but not them.
	parked map[string]bool
	// lowerTierLead is, for each tier, the number of dispatches by which lower tiers are
	// ahead of their floors.
	lowerTierLead map[catalog.Tier]float64
	violations    []Violation
}

func newVerifier(events []event) *verifier {
	v := &verifier{
		classes:       map[string]*classState{},
		undecided:     map[string]routing.PermitRequest{},
		parked:        map[string]bool{},
		lowerTierLead: map[catalog.Tier]float64{},
	}
	total := 0.0
	for _, e := range events {
		if e.decision != nil && e.decision.Parked {
			v.parked[e.request.ID] = true
		}
		if _, ok := v.classes[e.request.Class]; ok {
			continue
		}
		floor := e.request.FloorPercent / 100
		v.classes[e.request.Class] = &classState{name: e.request.Class, tier: e.request.Tier, floor: floor}
		total += floor
	}
	v.floorScale = 1 / max(1, total)
	return v
}

func (v *verifier) report(rule Rule, at time.Time, attemptID, format string, args ...any) {
	v.violations = append(v.violations, Violation{
		Rule: rule, At: at, AttemptID: attemptID, Detail: fmt.Sprintf(format, args...),
	})
}

func (v *verifier) apply(e event) {
	if e.decision == nil {
		v.applySubmission(e)
		return
	}
	if e.decision.Reason == scheduling.ReasonDuplicate {
		return
	}
	if _, ok := v.undecided[e.request.ID]; !ok {
		v.report(OneDecision, e.at, e.request.ID, "decision for a request that is not waiting")
		return
	}
	v.endWait(e.request)
	if e.decision.Kind == scheduling.Granted {
		v.checkGrant(e)
		return
	}
	v.checkRefusal(e)
}

func (v *verifier) applySubmission(e event) {
	if _, ok := v.undecided[e.request.ID]; ok {
		return
	}
	v.undecided[e.request.ID] = e.request
	c := v.classes[e.request.Class]
	if v.waitingInTier(c.tier) == 0 {
		v.lowerTierLead[c.tier] = 0
	}
	c.waiting++
	if v.unconstrained(e.request) {
		if c.unconstrained == 0 {
			c.floorDeficit = 0
		}
		c.unconstrained++
	}
}

func (v *verifier) endWait(request routing.PermitRequest) {
	delete(v.undecided, request.ID)
	c := v.classes[request.Class]
	c.waiting--
	if v.unconstrained(request) {
		c.unconstrained--
	}
}

// unconstrained reports whether any free endpoint may take the request.
func (v *verifier) unconstrained(request routing.PermitRequest) bool {
	return !request.Suspect && len(request.Avoid) == 0 && !v.parked[request.ID]
}

// waitingInTier counts the waiting requests of a tier that any endpoint may take.
func (v *verifier) waitingInTier(tier catalog.Tier) int {
	total := 0
	for _, c := range v.classes {
		if c.tier == tier {
			total += c.unconstrained
		}
	}
	return total
}

func (v *verifier) checkGrant(e event) {
	v.checkOrder(e)
	v.checkFloors(e)
}

func (v *verifier) checkOrder(e event) {
	for tier := catalog.HighestTier; tier < catalog.LowestTier; tier++ {
		if v.waitingInTier(tier) == 0 {
			continue
		}
		share, classes := v.lowerFloors(tier)
		v.lowerTierLead[tier] = max(0, v.lowerTierLead[tier]-share)
		if e.request.Tier > tier {
			v.lowerTierLead[tier]++
		}
		if limit := float64(classes * (FloorCredit + 1)); v.lowerTierLead[tier] > limit {
			v.report(TierOrder, e.at, e.request.ID,
				"lower tiers are %.1f dispatches ahead of their floors while tier %d waits; at most %.0f are allowed",
				v.lowerTierLead[tier], tier, limit)
			v.lowerTierLead[tier] = 0
		}
	}
}

// lowerFloors returns the sum of the floors of the classes below a tier, and their number.
func (v *verifier) lowerFloors(tier catalog.Tier) (share float64, classes int) {
	for _, c := range v.classes {
		if c.tier > tier {
			share += c.floor * v.floorScale
			classes++
		}
	}
	return share, classes
}

func (v *verifier) checkFloors(e event) {
	limit := float64(len(v.classes) + 2)
	for _, c := range v.classes {
		if c.name == e.request.Class {
			c.floorDeficit = max(0, c.floorDeficit+c.floor*v.floorScale-1)
			continue
		}
		if c.unconstrained == 0 {
			continue
		}
		c.floorDeficit += c.floor * v.floorScale
		if c.floorDeficit > limit {
			v.report(Floor, e.at, e.request.ID, "class %s is %.1f dispatches short of its floor; at most %.0f are allowed", c.name, c.floorDeficit, limit)
			c.floorDeficit = 0
		}
	}
}

func (v *verifier) checkRefusal(e event) {
	reason := e.decision.Reason
	if reason != scheduling.ReasonShed && reason != scheduling.ReasonQueueFull {
		return
	}
	for _, c := range v.classes {
		if c.tier > e.request.Tier && c.waiting > ReservedPlaces {
			v.report(TierShed, e.at, e.request.ID, "tier %d was shed while %d requests of class %s, tier %d, wait",
				e.request.Tier, c.waiting, c.name, c.tier)
		}
	}
}

func (v *verifier) requireAllDecided() {
	for id := range v.undecided {
		v.report(OneDecision, time.Time{}, id, "never decided")
	}
}
