// Package soak draws random series of faults for a fleet of gateways, and checks what
// callers and endpoints saw of them against the promises of the product. It starts no
// process and opens no connection: test/e2e does, and reports here.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Kind names a fault.
type Kind string

// Faults of gateways, endpoints and the platform, and planned work.
const (
	// KillGateway kills a gateway; it is started again when the fault ends.
	KillGateway Kind = "kill_gateway"
	// FreezeGateway stops a gateway's process until the fault ends.
	FreezeGateway Kind = "freeze_gateway"
	// DrainGateway sends SIGTERM; the gateway is started again when the fault ends.
	DrainGateway Kind = "drain_gateway"
	// ReloadGateway writes the settings again, sometimes broken ones, and sends SIGHUP.
	ReloadGateway Kind = "reload_gateway"
	// CutFromPlatform holds back what passes between a gateway and the platform.
	CutFromPlatform Kind = "cut_from_platform"
	// DelayEndpoint delays what passes between gateways and an endpoint.
	DelayEndpoint Kind = "delay_endpoint"
	// ResetEndpoint resets an endpoint's open connections, once.
	ResetEndpoint Kind = "reset_endpoint"
	// CutEndpoint holds back what an endpoint sends, or what is sent to it, or both.
	CutEndpoint Kind = "cut_endpoint"
	// CrashEndpoint resets an endpoint's connections and refuses new ones.
	CrashEndpoint Kind = "crash_endpoint"
	// RefusePlatform lets the platform answer 503.
	RefusePlatform Kind = "refuse_platform"
	// HangPlatform lets the platform answer nothing.
	HangPlatform Kind = "hang_platform"
	// StalePlatform lets the platform answer as of some time ago, and cuts its watches.
	StalePlatform Kind = "stale_platform"
	// ChangeTable adds an API key and revokes the one before.
	ChangeTable Kind = "change_table"
	// DrainEndpoint marks an endpoint as draining until the fault ends, and in some variants
	// takes it off the list meanwhile.
	DrainEndpoint Kind = "drain_endpoint"
)

// Target says what a kind of fault strikes.
type Target int

// What faults strike.
const (
	Gateway Target = iota
	Endpoint
	Platform
)

// traits are what a plan needs to know of a kind.
type traits struct {
	kind   Kind
	target Target
	// weight is the kind's share among all.
	weight int
	// longest is the longest duration; zero for faults of a moment.
	longest time.Duration
	// since is the generation of plans that first had the kind.
	since int
}

var kinds = []traits{
	{KillGateway, Gateway, 4, 2 * time.Second, 1},
	{FreezeGateway, Gateway, 4, 4 * time.Second, 1},
	{DrainGateway, Gateway, 4, 4 * time.Second, 1},
	{ReloadGateway, Gateway, 3, 0, 1},
	{CutFromPlatform, Gateway, 4, 6 * time.Second, 2},
	{DelayEndpoint, Endpoint, 2, 3 * time.Second, 1},
	{ResetEndpoint, Endpoint, 3, 0, 1},
	{CutEndpoint, Endpoint, 3, 3 * time.Second, 1},
	{CrashEndpoint, Endpoint, 3, 3 * time.Second, 1},
	{RefusePlatform, Platform, 2, 5 * time.Second, 1},
	{HangPlatform, Platform, 2, 5 * time.Second, 1},
	{StalePlatform, Platform, 1, 3 * time.Second, 1},
	{ChangeTable, Platform, 4, 0, 1},
	{DrainEndpoint, Endpoint, 3, 5 * time.Second, 1},
}

func traitsOf(k Kind) traits {
	return kinds[slices.IndexFunc(kinds, func(t traits) bool { return t.kind == k })]
}

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// Index is the gateway's or endpoint's number.
	Index int
	// From and To are times since the start of traffic; To is From for faults of a moment.
	From, To time.Duration
	// Variant is a random number that tells apart the ways in which a kind occurs.
	Variant int
}

// Fleet is the size of what a plan strikes.
type Fleet struct{ Gateways, Endpoints int }

const (
	// meanGap is the mean time between two series of faults.
	meanGap = 1500 * time.Millisecond
	// seriesMost is the most faults of one kind in a series, seriesGap the time between two.
	seriesMost = 3
	seriesGap  = 700 * time.Millisecond
	// variants is the number of variants that are drawn from.
	variants = 1 << 16
)

// Generation counts the changes of what plans are made of. A run that failed keeps its
// generation, so that its plan stays as it was.
const Generation = 2

// Plan draws the faults of a run. They come in series and overlap; one target has one
// fault of its own kind at a time. All have ended after length.
func Plan(generation int, seed uint64, fleet Fleet, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 3))
	kinds := lo.Filter(kinds, func(t traits, _ int) bool { return t.since <= generation })
	var plan []Fault
	for at := draw(random, meanGap); at < length; at += draw(random, 2*meanGap) {
		t := drawKind(random, kinds)
		from := at
		for range 1 + random.IntN(seriesMost) {
			f := Fault{Kind: t.kind, Index: drawIndex(random, t.target, fleet), From: from, Variant: random.IntN(variants)}
			f.To = min(length, f.From+draw(random, t.longest))
			if f.From < length && !struck(plan, f) {
				plan = append(plan, f)
			}
			from += draw(random, seriesGap)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.From, b.From) })
	return plan
}

// draw returns a time of up to most.
func draw(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most) + 1))
}

func drawKind(random *rand.Rand, kinds []traits) traits {
	total := 0
	for _, t := range kinds {
		total += t.weight
	}
	n := random.IntN(total)
	for _, t := range kinds {
		if n -= t.weight; n < 0 {
			return t
		}
	}
	return kinds[0]
}

func drawIndex(random *rand.Rand, target Target, fleet Fleet) int {
	switch target {
	case Gateway:
		return random.IntN(fleet.Gateways)
	case Endpoint:
		return random.IntN(fleet.Endpoints)
	case Platform:
	}
	return 0
}

// settle is the time after a fault's end before another one of its group strikes the
// same target: a process that was started again has to be up.
const settle = 300 * time.Millisecond

// struck reports whether the target is in a fault of the same group just then.
func struck(plan []Fault, f Fault) bool {
	return slices.ContainsFunc(plan, func(o Fault) bool {
		return o.Index == f.Index && group(o.Kind) == group(f.Kind) && o.From < f.To+settle && f.From < o.To+settle
	})
}

// group names what two faults can't share: a process, a relay, the platform's answers.
func group(k Kind) string {
	switch k {
	case KillGateway, FreezeGateway, DrainGateway, ReloadGateway:
		return "process"
	case DelayEndpoint, ResetEndpoint, CutEndpoint, CrashEndpoint:
		return "relay"
	case RefusePlatform, HangPlatform, StalePlatform:
		return "platform"
	case ChangeTable, DrainEndpoint, CutFromPlatform:
		return string(k)
	}
	return string(k)
}

// Planned reports whether a fault is work that operators plan, through which no request is lost.
func (k Kind) Planned() bool {
	switch k {
	case DrainGateway, ReloadGateway, ChangeTable, DrainEndpoint:
		return true
	default:
		return false
	}
}

// Target returns what the kind strikes.
func (k Kind) Target() Target { return traitsOf(k).target }
