// Package soak generates random fault plans for a fleet of gateways and checks the
// observations of callers and endpoints against the guarantees of the product. It starts
// no process and opens no connection: test/e2e injects the faults and records the results.
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

// Kinds of faults of gateways, endpoints and the platform, and of planned work.
const (
	// KillGateway kills a gateway process and restarts it when the fault ends.
	KillGateway Kind = "kill_gateway"
	// FreezeGateway suspends a gateway process until the fault ends.
	FreezeGateway Kind = "freeze_gateway"
	// DrainGateway sends SIGTERM to a gateway and restarts it when the fault ends.
	DrainGateway Kind = "drain_gateway"
	// ReloadGateway rewrites the settings file, sometimes with invalid content, and sends SIGHUP.
	ReloadGateway Kind = "reload_gateway"
	// CutFromPlatform stalls the traffic between a gateway and the platform.
	CutFromPlatform Kind = "cut_from_platform"
	// CutFromEndpoints makes new connections of a gateway to endpoints fail; they are refused or hang.
	CutFromEndpoints Kind = "cut_from_endpoints"
	// CutFromPeers keeps a gateway from exchanging anything with the others, and in some variants with
	// the platform too.
	CutFromPeers Kind = "cut_from_peers"
	// CrowdGateway puts clients before a gateway that respect no limits, in variants. It excuses no response
	// that is cut off.
	CrowdGateway Kind = "crowd_gateway"
	// DelayEndpoint delays the traffic between gateways and an endpoint.
	DelayEndpoint Kind = "delay_endpoint"
	// ResetEndpoint resets an endpoint's open connections, once.
	ResetEndpoint Kind = "reset_endpoint"
	// CutEndpoint stalls the traffic from an endpoint, to it, or in both directions.
	CutEndpoint Kind = "cut_endpoint"
	// CrashEndpoint resets an endpoint's connections and refuses new ones.
	CrashEndpoint Kind = "crash_endpoint"
	// BreakResponses makes an endpoint, or in some variants each of them, break off responses at
	// any byte.
	BreakResponses Kind = "break_responses"
	// RepeatResponses makes an endpoint send responses a second time, late, on the same connection.
	RepeatResponses Kind = "repeat_responses"
	// GarbleResponses makes an endpoint send bytes that are no response, within responses or after them.
	GarbleResponses Kind = "garble_responses"
	// ReplaceEndpoint ends an endpoint and starts one of another version, with another id, at its
	// address. One of the first version takes its place when the fault ends.
	ReplaceEndpoint Kind = "replace_endpoint"
	// LeaveEndpoint makes an endpoint say in each response that it shuts down, whether the platform
	// knows it or not, and replaces it by one with another id when the fault ends.
	LeaveEndpoint Kind = "leave_endpoint"
	// QuietEndpoint makes an endpoint refuse requests with a time until which it wants none.
	QuietEndpoint Kind = "quiet_endpoint"
	// DeadlyPart makes callers send requests with one part of a prompt, no two alike, under which any
	// endpoint crashes.
	DeadlyPart Kind = "deadly_part"
	// DeadlyRequest makes callers send one request again and again, under which any endpoint crashes.
	DeadlyRequest Kind = "deadly_request"
	// LimitEndpoint makes an endpoint name a limit of requests a second in each response.
	LimitEndpoint Kind = "limit_endpoint"
	// BrittleEndpoints makes all endpoints brittle: they name the rejections that they bear in a second,
	// and one that has to reject more falls over.
	BrittleEndpoints Kind = "brittle_endpoints"
	// RefusePlatform makes the platform respond with status 503.
	RefusePlatform Kind = "refuse_platform"
	// HangPlatform makes the platform leave requests without a response.
	HangPlatform Kind = "hang_platform"
	// StalePlatform makes the platform serve an earlier state, and ends its watches.
	StalePlatform Kind = "stale_platform"
	// RestorePlatform makes the platform come back from an older copy of its data. The operator
	// and the endpoints write their objects again when the fault ends.
	RestorePlatform Kind = "restore_platform"
	// ChangeTable adds an API key to the route table and revokes the one added before it.
	ChangeTable Kind = "change_table"
	// DrainEndpoint marks an endpoint as draining until the fault ends, and in some variants
	// also removes it from the endpoint list for that time.
	DrainEndpoint Kind = "drain_endpoint"
)

// Target is the component that a fault affects.
type Target int

// Components that faults affect.
const (
	Gateway Target = iota
	Endpoint
	Platform
)

// kindSpec describes how often and for how long a kind of fault is generated.
type kindSpec struct {
	kind   Kind
	target Target
	// weight is the relative probability of the kind.
	weight int
	// maxDuration is zero for instantaneous faults.
	maxDuration time.Duration
	// sinceGeneration is the first generation of plans that includes the kind.
	sinceGeneration int
}

var kindSpecs = []kindSpec{
	{KillGateway, Gateway, 4, 2 * time.Second, 1},
	{FreezeGateway, Gateway, 4, 4 * time.Second, 1},
	{DrainGateway, Gateway, 4, 4 * time.Second, 1},
	{ReloadGateway, Gateway, 3, 0, 1},
	{CutFromPlatform, Gateway, 4, 6 * time.Second, 2},
	{CutFromEndpoints, Gateway, 5, 6 * time.Second, 10},
	{CutFromPeers, Gateway, 5, 8 * time.Second, 11},
	{CrowdGateway, Gateway, 5, 5 * time.Second, 12},
	{DelayEndpoint, Endpoint, 2, 3 * time.Second, 1},
	{ResetEndpoint, Endpoint, 3, 0, 1},
	{CutEndpoint, Endpoint, 3, 3 * time.Second, 1},
	{CrashEndpoint, Endpoint, 3, 3 * time.Second, 1},
	{BreakResponses, Endpoint, 6, 4 * time.Second, 4},
	{RepeatResponses, Endpoint, 3, 4 * time.Second, 4},
	{GarbleResponses, Endpoint, 3, 4 * time.Second, 4},
	{ReplaceEndpoint, Endpoint, 3, 4 * time.Second, 5},
	{LeaveEndpoint, Endpoint, 4, 6 * time.Second, 6},
	{QuietEndpoint, Endpoint, 4, 4 * time.Second, 6},
	{DeadlyPart, Endpoint, 5, 10 * time.Second, 7},
	{DeadlyRequest, Endpoint, 4, 10 * time.Second, 8},
	{LimitEndpoint, Endpoint, 5, 10 * time.Second, 9},
	{BrittleEndpoints, Endpoint, 3, 10 * time.Second, 13},
	{RefusePlatform, Platform, 2, 5 * time.Second, 1},
	{HangPlatform, Platform, 2, 5 * time.Second, 1},
	{StalePlatform, Platform, 1, 3 * time.Second, 1},
	{RestorePlatform, Platform, 2, time.Second, 3},
	{ChangeTable, Platform, 4, 0, 1},
	{DrainEndpoint, Endpoint, 3, 5 * time.Second, 1},
}

func specOf(k Kind) kindSpec {
	return kindSpecs[slices.IndexFunc(kindSpecs, func(t kindSpec) bool { return t.kind == k })]
}

// Fault is one scheduled fault of a plan.
type Fault struct {
	Kind Kind
	// Index is the index of the gateway or endpoint.
	Index int
	// From and To are offsets from the start of traffic; they are equal for instantaneous faults.
	From, To time.Duration
	// Variant is a random number that selects among the variants of a kind.
	Variant int
}

// Fleet is the number of gateways and endpoints that a plan covers.
type Fleet struct{ Gateways, Endpoints int }

const (
	// meanGap is the mean time between the starts of two series of faults.
	meanGap = 1500 * time.Millisecond
	// maxSeriesLength is the maximum number of faults in a series, all of one kind;
	// maxSeriesGap is the maximum time between the starts of two of them.
	maxSeriesLength = 3
	maxSeriesGap    = 700 * time.Millisecond
	// variantCount is the exclusive upper bound of Fault.Variant.
	variantCount = 1 << 16
)

// Generation is the current version of plan generation. It increases when a change would
// alter the plans of existing seeds; passing an earlier generation to Plan reproduces the
// plan of a run that failed with it.
const Generation = 12

// One seed in streamPlanShare has only streamKinds from generation streamPlansSince on, so that
// callers resume many streams at gateways that no other fault disturbs.
const streamPlansSince, streamPlanShare = 5, 3

// Every second seed with a plan of streamKinds begins with endpoints of one version from generation
// oneVersionSince on, so that the other one is new to gateways.
const oneVersionSince, oneVersionShare = 11, 2

// OneVersion reports whether all endpoints have one version at the start of a run.
func OneVersion(generation int, seed uint64) bool {
	return generation >= oneVersionSince && seed%streamPlanShare == 0 && seed%oneVersionShare == 0
}

// streamKinds are faults that break off streams, and CutFromPeers, which keeps a gateway from knowing
// where they began.
var streamKinds = []Kind{KillGateway, CrashEndpoint, ResetEndpoint, BreakResponses, RepeatResponses, ReplaceEndpoint, CutFromPeers}

// Plan generates the faults of a run, ordered by start. The same generation, seed, fleet
// and length give the same plan. Faults come in series and may overlap, but faults of one
// exclusion group never overlap on the same target. Every fault ends by length.
func Plan(generation int, seed uint64, fleet Fleet, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 3))
	available := lo.Filter(kindSpecs, func(t kindSpec, _ int) bool { return t.sinceGeneration <= generation })
	if generation >= streamPlansSince && seed%streamPlanShare == 0 {
		available = lo.Filter(available, func(t kindSpec, _ int) bool { return slices.Contains(streamKinds, t.kind) })
	}
	var plan []Fault
	if OneVersion(generation, seed) {
		plan = releaseBehindCut(random, fleet, length)
	}
	for at := drawDuration(random, meanGap); at < length; at += drawDuration(random, 2*meanGap) {
		t := drawKind(random, available)
		from := at
		for range 1 + random.IntN(maxSeriesLength) {
			f := Fault{Kind: t.kind, Index: drawIndex(random, t.target, fleet), From: from, Variant: random.IntN(variantCount)}
			f.To = min(length, f.From+drawDuration(random, t.maxDuration))
			if f.From < length && !conflicts(plan, f) {
				plan = append(plan, f)
			}
			from += drawDuration(random, maxSeriesGap)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.From, b.From) })
	return plan
}

// Times of releaseBehindCut: the cuts begin within releaseDelay and last minCut at least, and endpoints
// of the other version come within releaseSpread after that.
const (
	releaseDelay  = 700 * time.Millisecond
	releaseSpread = 1500 * time.Millisecond
	minCut        = 4 * time.Second
)

// releaseBehindCut returns faults by which endpoints of another version come and streams break off
// while some gateways are cut from their peers.
func releaseBehindCut(random *rand.Rand, fleet Fleet, length time.Duration) (plan []Fault) {
	add := func(kind Kind, target Target, after, lasts time.Duration) {
		f := Fault{Kind: kind, Index: drawIndex(random, target, fleet), From: after, To: min(length, after+lasts), Variant: random.IntN(variantCount)}
		if kind == BreakResponses {
			f.Variant -= f.Variant % widespreadShare
		}
		if f.From < length && !conflicts(plan, f) {
			plan = append(plan, f)
		}
	}
	for range 1 + random.IntN(maxSeriesLength) {
		add(CutFromPeers, Gateway, drawDuration(random, releaseDelay), minCut+drawDuration(random, specOf(CutFromPeers).maxDuration-minCut))
	}
	for range 1 + random.IntN(maxSeriesLength) {
		add(ReplaceEndpoint, Endpoint, releaseDelay+drawDuration(random, releaseSpread), specOf(ReplaceEndpoint).maxDuration)
	}
	add(BreakResponses, Endpoint, 0, specOf(BreakResponses).maxDuration+minCut/2)
	return plan
}

// drawDuration returns a random duration between zero and limit.
func drawDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit) + 1))
}

// drawKind selects a kind at random, in proportion to the weights.
func drawKind(random *rand.Rand, specs []kindSpec) kindSpec {
	total := 0
	for _, t := range specs {
		total += t.weight
	}
	n := random.IntN(total)
	for _, t := range specs {
		if n -= t.weight; n < 0 {
			return t
		}
	}
	return specs[0]
}

// drawIndex selects a gateway or endpoint at random; it is 0 for the platform.
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

// minFaultGap is the minimum time between two faults of one exclusion group on the same
// target: a restarted process has to be up before the next fault.
const minFaultGap = 300 * time.Millisecond

// conflicts reports whether the plan has a fault of the same exclusion group on the same
// target that overlaps f or is less than minFaultGap away.
func conflicts(plan []Fault, f Fault) bool {
	return slices.ContainsFunc(plan, func(other Fault) bool {
		return other.Index == f.Index && exclusionGroup(other.Kind) == exclusionGroup(f.Kind) && other.From < f.To+minFaultGap && f.From < other.To+minFaultGap
	})
}

// exclusionGroup returns the resource that only one fault can use at a time: a process, a
// relay (network proxy), the responses of the platform. Other kinds exclude only themselves.
func exclusionGroup(k Kind) string {
	switch k {
	case KillGateway, FreezeGateway, DrainGateway, ReloadGateway, CutFromEndpoints, CutFromPeers:
		return "process"
	case DelayEndpoint, ResetEndpoint, CutEndpoint, CrashEndpoint:
		return "relay"
	case RefusePlatform, HangPlatform, StalePlatform, RestorePlatform:
		return "platform"
	case DrainEndpoint, ReplaceEndpoint, LeaveEndpoint:
		return "registration"
	case CrowdGateway, ChangeTable, CutFromPlatform, BreakResponses, RepeatResponses, GarbleResponses, QuietEndpoint, DeadlyPart, DeadlyRequest, LimitEndpoint, BrittleEndpoints:
		return string(k)
	}
	return string(k)
}

// Planned reports whether the kind is planned operator work, which must not lose any request.
func (k Kind) Planned() bool {
	switch k {
	case DrainGateway, ReloadGateway, ChangeTable, DrainEndpoint:
		return true
	default:
		return false
	}
}

// cutsOff reports whether the kind keeps a gateway that runs on from hearing of changes.
func (k Kind) cutsOff() bool { return k == CutFromPlatform || k == CutFromPeers }

// Target returns the component that the kind affects.
func (k Kind) Target() Target { return specOf(k).target }

// alsoFromPlatform is the share of cuts from peers that are cuts from the platform too, as 1 in n.
const alsoFromPlatform = 2

// FromPlatformToo reports whether a fault that cuts a gateway from its peers cuts it from the platform.
func (f Fault) FromPlatformToo() bool {
	return f.Kind == CutFromPeers && f.Variant%alsoFromPlatform == 0
}

// widespreadShare is the share of faults of responses that affect every endpoint, as 1 in n.
const widespreadShare = 3

// Widespread reports whether a fault of responses affects every endpoint.
func (f Fault) Widespread() bool { return f.Variant%widespreadShare == 0 }
