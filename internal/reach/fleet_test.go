package reach

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"
)

// simulatedGateway is a gateway of a generated fleet.
type simulatedGateway struct {
	address string
	// cut gateways reach no endpoint; their connections hang or are refused. lost ones, which may be
	// frozen, answer nobody, old ones carry nothing, and ones of the build before this one take each
	// endpoint of a service that is not reached for a reference that is lost.
	cut, hangs, lost, old, before bool
	paths                         *Paths
	carriers                      *Carriers
}

// simulatedFleet plays races without a network, each event at its time.
type simulatedFleet struct {
	now      time.Time
	gateways []*simulatedGateway
	targets  []Target
	down     map[string]bool
	// crashedAt has the endpoints of which all gateways have evidence that they crashed, and backAt when
	// those that are down are back.
	crashedAt, backAt map[string]time.Time
	// lostTakes is how long it takes to find that no reference is reached.
	lostTakes time.Duration
	random    *rand.Rand
}

const (
	// crashDowntime is how long evidence explains that an endpoint is not reached, and restartTime after
	// which one that crashed is back.
	crashDowntime = 10 * time.Second
	restartTime   = 3 * time.Second
)

// direct returns whether a direct connection is opened, and after how long it is or fails.
func (f *simulatedFleet) direct(g *simulatedGateway, address string) (bool, time.Duration) {
	switch {
	case g.cut && g.hangs:
		return false, DirectTimeout
	case g.cut || f.down[address]:
		return false, 2 * time.Millisecond
	}
	return true, 3 * time.Millisecond
}

// asked returns the answer of a carrier, and after how long it comes.
func (f *simulatedFleet) asked(g *simulatedGateway, target Target) (Verdict, time.Duration) {
	if g.lost {
		return Lost, 450 * time.Millisecond
	}
	if g.paths.State(target.Address) == Cut {
		return CantTell, 3 * time.Millisecond
	}
	connected, took := f.direct(g, target.Address)
	took = min(took, 150*time.Millisecond) + 3*time.Millisecond
	if connected {
		return Connected, took
	}
	g.paths.DirectFailed(f.now, target.Address)
	reference, more := f.reference(g, target)
	verdict := Judge(reference)
	if verdict == Down && !g.before {
		g.paths.FoundDown(target.Address)
	}
	return verdict, took + more
}

func (f *simulatedFleet) reference(g *simulatedGateway, target Target) (Reference, time.Duration) {
	others := lo.Map(f.targets, func(t Target, _ int) Other {
		return Other{
			Target: t, State: g.paths.State(t.Address), Down: !g.before && g.paths.IsDown(t.Address),
			DownBefore: !g.before && g.paths.DownBefore(f.now, t.Address, target.Address), Crashed: !g.before && f.crashedLately(t),
		}
	})
	references := References(target, others, f.shuffled)
	for _, other := range references {
		if connected, took := f.direct(g, other.Address); connected {
			return ReferenceReached, took
		}
	}
	return JudgeReferences(references), f.lostTakes
}

func (f *simulatedFleet) shuffled(others []Other) []Other {
	f.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// event is the end of one part of a race.
type event struct {
	at        time.Time
	direct    bool
	connected bool
	verdict   Verdict
	reference *Reference
}

// connect plays one race, and returns its verdict: Connected, Down or CantTell.
func (f *simulatedFleet) connect(t *rapid.T, g *simulatedGateway, target Target) Verdict {
	candidates := lo.FilterMap(f.gateways, func(x *simulatedGateway, _ int) (Candidate, bool) {
		return Candidate{Address: x.address}, x != g && !x.old
	})
	started := f.now
	race := NewRace(f.now, g.paths.State(target.Address), len(candidates))
	var events []event
	var tried []string
	for {
		if f.now.Sub(started) > ConnectTimeout {
			return CantTell
		}
		step := race.Next(f.now)
		switch {
		case step.Over:
			if race.Verdict() == Down && !g.before {
				g.paths.FoundDown(target.Address)
			}
			return race.Verdict()
		case step.Direct:
			connected, took := f.direct(g, target.Address)
			events = append(events, event{at: f.now.Add(took), direct: true, connected: connected})
			continue
		case step.Carrier:
			address, ok := g.carriers.Choose(f.now, target, candidates, tried, f.random.IntN)
			if !ok {
				events = append(events, event{at: f.now, verdict: Lost})
				continue
			}
			tried = append(tried, address)
			carrier, _ := lo.Find(f.gateways, func(x *simulatedGateway) bool { return x.address == address })
			verdict, took := f.asked(carrier, target)
			g.carriers.Answered(f.now.Add(took), address, target.Service, verdict)
			events = append(events, event{at: f.now.Add(took), connected: verdict == Connected, verdict: verdict})
			continue
		case step.Reference:
			reference, took := f.reference(g, target)
			events = append(events, event{at: f.now.Add(took), reference: &reference})
			continue
		}
		if len(events) == 0 && step.Wait == 0 {
			t.Fatalf("a race waits for nothing")
		}
		next, i := lo.MinIndexBy(events, func(a, b event) bool { return a.at.Before(b.at) })
		if wake := f.now.Add(step.Wait); step.Wait > 0 && (len(events) == 0 || wake.Before(next.at)) {
			f.now = wake
			continue
		}
		f.now = next.at
		events = slices.Delete(events, i, i+1)
		switch {
		case next.connected:
			if next.direct {
				g.paths.DirectConnected(f.now, target.Address)
			} else {
				if lo.ContainsBy(events, func(e event) bool { return e.direct }) {
					g.paths.DirectFailed(f.now, target.Address) // It hangs, and fails a moment later.
				}
				g.paths.Carried(f.now, target.Address)
			}
			return Connected
		case next.direct:
			g.paths.DirectFailed(f.now, target.Address)
			race.DirectFailed()
		case next.reference != nil:
			race.ReferenceDone(*next.reference)
		default:
			race.CarrierFailed(next.verdict)
		}
	}
}

func drawFleet(t *rapid.T) *simulatedFleet {
	f := &simulatedFleet{now: time.Unix(1000, 0), down: map[string]bool{}, crashedAt: map[string]time.Time{}, backAt: map[string]time.Time{}, lostTakes: 150 * time.Millisecond, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
	for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
		f.targets = append(f.targets, Target{Address: fmt.Sprint("e", i), Service: "svc"})
		f.down[f.targets[i].Address] = i > 0 && rapid.IntRange(0, 4).Draw(t, "state") == 0
	}
	cutShare, lostShare, oldShare := rapid.Float64Range(0, 0.9).Draw(t, "cut"), rapid.Float64Range(0, 0.2).Draw(t, "lost"), rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "old")
	hangs := rapid.Bool().Draw(t, "hangs")
	for i := range rapid.IntRange(1, 95).Draw(t, "gateways") {
		f.gateways = append(f.gateways, &simulatedGateway{
			address: fmt.Sprint("g", i), cut: f.random.Float64() < cutShare, hangs: hangs,
			lost: f.random.Float64() < lostShare, old: f.random.Float64() < oldShare, paths: NewPaths(nil), carriers: NewCarriers("dc"),
		})
	}
	return f
}

// TestGatewaysReachWhatAnyCarrierReaches draws fleets with gateways that are cut, lost or of the
// build before. No endpoint that is up is taken for down while another gateway can tell, and a
// gateway that is cut connects nearly always once it knows a quarter of its carriers to be whole.
func TestGatewaysReachWhatAnyCarrierReaches(t *testing.T) {
	const races = 60
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		serving := lo.Filter(f.gateways, func(g *simulatedGateway, _ int) bool { return !g.lost && !g.old })
		for _, g := range serving[:min(3, len(serving))] {
			carriers := lo.Filter(serving, func(x *simulatedGateway, _ int) bool { return x != g })
			whole := lo.CountBy(carriers, func(x *simulatedGateway) bool { return !x.cut })
			announced := lo.CountBy(f.gateways, func(x *simulatedGateway) bool { return x != g && !x.old })
			connected, up := 0, 0
			for range races {
				f.now = f.now.Add(50 * time.Millisecond)
				target := f.targets[f.random.IntN(len(f.targets))]
				verdict := f.connect(t, g, target)
				switch {
				case f.down[target.Address]:
					if verdict == Connected {
						t.Fatalf("connected to an endpoint that is down")
					}
					continue
				case verdict == Down && len(f.targets) > 1:
					t.Fatalf("an endpoint that is up is taken for down")
				}
				up++
				connected += lo.Ternary(verdict == Connected, 1, 0)
			}
			if (!g.cut || whole*4 >= announced && whole > 0) && connected*3 < up*2 {
				t.Fatalf("%d of %d connections, with %d of %d carriers whole", connected, up, whole, announced)
			}
		}
	})
}

func TestAnEndpointIsDownBeforeOnlyIfItWasForAWhile(t *testing.T) {
	p, now := NewPaths(nil), time.Unix(1000, 0)
	p.DirectFailed(now, "lost")
	later := now.Add(downLead)
	if p.DownBefore(later, "lost", "target") {
		t.Fatal("it has not been found down")
	}
	p.FoundDown("lost")
	if !p.DownBefore(later, "lost", "target") || p.DownBefore(later.Add(-time.Millisecond), "lost", "target") {
		t.Fatal("it is down before the target once it was out of reach for downLead")
	}
	p.DirectFailed(now.Add(downLead/2), "target")
	if p.DownBefore(later.Add(time.Hour), "lost", "target") {
		t.Fatal("both ceased to be reached at about the same time")
	}
	p.DirectConnected(later, "lost")
	p.DirectFailed(later, "lost")
	if p.DownBefore(later.Add(time.Hour), "lost", "target") {
		t.Fatal("it was reached since")
	}
}

// TestPathsAfterACut checks when a path is cut and whole again.
func TestPathsAfterACut(t *testing.T) {
	var seen []State
	p, now := NewPaths(func(t Transition) { seen = append(seen, t.To) }), time.Unix(1000, 0)
	listed := []string{"a", "b", "c"}
	p.DirectFailed(now, "a")
	if _, checks := p.Due(now, listed); len(checks) != 1 {
		t.Fatalf("a path that is newly suspect is checked at once: %v", checks)
	}
	p.Carried(now, "a")
	if probes, _ := p.Due(now, listed); len(probes) != 2 {
		t.Fatalf("a path that is cut has all others probed: %v", probes)
	}
	p.DirectConnected(now, "a")
	if p.State("a") != Cut {
		t.Fatalf("one connection makes no path whole")
	}
	p.DirectFailed(now, "a")
	p.DirectConnected(now, "a")
	p.DirectConnected(now.Add(recoveryInterval), "a")
	if p.State("a") != Whole {
		t.Fatalf("two connections in a row do")
	}
	if want := []State{Suspect, Cut, Whole}; fmt.Sprint(seen) != fmt.Sprint(want) {
		t.Fatalf("transitions %v", seen)
	}
	p.DirectFailed(now, "gone")
	p.Due(now, listed)
	if p.NeedsProbes() {
		t.Fatalf("addresses that are not listed are forgotten")
	}
}

// drawCrashes draws a fleet with endpoints of several services, all of them up, and gateways of which
// some are of the build before.
func drawCrashes(t *rapid.T) *simulatedFleet {
	f := drawFleet(t)
	services := rapid.IntRange(1, 3).Draw(t, "services")
	for i := range f.targets {
		f.targets[i].Service = fmt.Sprint("svc", i%services)
	}
	clear(f.down)
	before := rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "before")
	for _, g := range f.gateways {
		g.before = f.random.Float64() < before
	}
	return f
}

// advance lets time pass, in which endpoints come back.
func (f *simulatedFleet) advance(by time.Duration) {
	f.now = f.now.Add(by)
	for address := range f.down {
		if !f.now.Before(f.backAt[address]) {
			delete(f.down, address)
			for _, g := range f.gateways {
				if !g.cut {
					g.paths.DirectConnected(f.now, address) // By a probe.
				}
			}
		}
	}
}

// losePermanently has some endpoints vanish that stay listed, which all gateways find.
func (f *simulatedFleet) losePermanently(t *rapid.T) {
	for _, target := range f.targets[:rapid.IntRange(0, len(f.targets)-1).Draw(t, "lost permanently")] {
		f.down[target.Address], f.backAt[target.Address] = true, f.now.Add(24*time.Hour)
		for _, g := range f.gateways {
			g.paths.DirectFailed(f.now, target.Address)
			g.paths.FoundDown(target.Address)
		}
	}
	f.now = f.now.Add(downLead + time.Second)
}

func (f *simulatedFleet) lostPermanently(target Target) bool {
	return f.down[target.Address] && f.backAt[target.Address].Sub(f.now) > restartTime
}

func (f *simulatedFleet) crash(target Target) {
	f.down[target.Address], f.backAt[target.Address] = true, f.now.Add(restartTime)
}

func (f *simulatedFleet) crashedLately(target Target) bool {
	at, crashed := f.crashedAt[target.Address]
	return crashed && f.now.Sub(at) < crashDowntime
}

// TestEachCrashIsFoundAlsoIfNoOtherEndpointIsUp draws requests that crash one endpoint after the
// other, down to the last one of a service, beside endpoints that are lost permanently and still listed.
// Gateways that are not cut find each crash, unless carriers
// are lost, which takes time, or those of the build before doubt the last one.
func TestEachCrashIsFoundAlsoIfNoOtherEndpointIsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawCrashes(t)
		f.lostTakes = 2 * time.Millisecond // Endpoints that crashed refuse connections.
		for _, g := range f.gateways {
			g.cut = false
		}
		serving := lo.Filter(f.gateways, func(g *simulatedGateway, _ int) bool { return !g.lost && !g.before })
		f.losePermanently(t)
		allFound := true
		pause := time.Duration(rapid.IntRange(300, 2000).Draw(t, "pause")) * time.Millisecond
		for i := range min(30, 30*len(serving)) {
			f.advance(pause)
			up := lo.Filter(f.targets, func(x Target, _ int) bool { return !f.down[x.Address] })
			if len(up) == 0 {
				continue
			}
			g, target := serving[i%len(serving)], up[f.random.IntN(len(up))]
			if verdict := f.connect(t, g, target); verdict != Connected {
				t.Fatalf("an endpoint that is up is %s", verdict)
			}
			f.crash(target)
			carriers := lo.Filter(f.gateways, func(x *simulatedGateway, _ int) bool { return x != g && !x.old })
			lost := lo.SomeBy(carriers, func(x *simulatedGateway) bool { return x.lost })
			before := lo.SomeBy(carriers, func(x *simulatedGateway) bool { return x.before })
			witnesses := lo.CountBy(up, func(x Target) bool { return x != target && !f.crashedLately(x) })
			verdict := f.connect(t, g, target)
			switch {
			case verdict == Down:
				f.crashedAt[target.Address] = f.now
			case !lost && (!before || witnesses > 0 && allFound):
				t.Fatalf("a crash is %s, with %d others up that did not crash", verdict, witnesses)
			default:
				allFound = false
			}
		}
	})
}

// TestCutGatewayFindsNoCrashBesideRealOnes draws requests that crash endpoints while some gateways are
// cut from all of them. A cut gateway takes an endpoint that is up for crashed only if no endpoint is
// left that could tell: all others have just crashed.
func TestCutGatewayFindsNoCrashBesideRealOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawCrashes(t)
		f.losePermanently(t)
		cut := lo.Filter(f.gateways, func(g *simulatedGateway, _ int) bool { return g.cut && !g.lost && !g.before })
		for range min(30, 30*len(cut)) {
			f.advance(time.Duration(f.random.IntN(1000)) * time.Millisecond)
			target := f.targets[f.random.IntN(len(f.targets))]
			if f.lostPermanently(target) {
				continue
			}
			if f.random.IntN(2) == 0 {
				f.crash(target)
				f.crashedAt[target.Address] = f.now
				continue
			}
			lasting := lo.Filter(f.targets, func(x Target, _ int) bool {
				return x != target && !f.crashedLately(x) && !f.lostPermanently(x)
			})
			if f.down[target.Address] || len(lasting) == 0 {
				continue
			}
			if verdict := f.connect(t, cut[f.random.IntN(len(cut))], target); verdict == Down {
				t.Fatalf("an endpoint that is up is taken for crashed, beside %d that may be up", len(lasting))
			}
		}
	})
}

// Guards against BUDGET: beside an endpoint that was lost permanently and still listed, no crash of the
// last endpoint of a service was found.
func TestEndpointFoundDownWithTheTargetIsADoubtfulReference(t *testing.T) {
	target := Target{Address: "a", Service: "svc"}
	down := Other{Target: Target{Address: "b", Service: "svc"}, Down: true}
	lost := Other{Target: Target{Address: "f", Service: "svc"}, Down: true, DownBefore: true}
	crashed := Other{Target: Target{Address: "c", Service: "svc"}, Crashed: true}
	for _, c := range []struct {
		references []Other
		want       Reference
	}{{nil, NoReference}, {[]Other{crashed}, NoReference}, {[]Other{down}, ReferenceLost}, {[]Other{crashed, down}, ReferenceLost}, {[]Other{crashed, lost}, NoReference}, {[]Other{lost, down}, ReferenceLost}} {
		if got := JudgeReferences(c.references); got != c.want {
			t.Fatalf("references %v give %v", c.references, got)
		}
	}
	other := Other{Target: Target{Address: "d", Service: "another"}}
	unchanged := func(others []Other) []Other { return others }
	if got := References(target, []Other{down, crashed, other}, unchanged); !slices.Contains(got, other) {
		t.Fatalf("endpoints of other services tell while all of the service are known to be down: %v", got)
	}
	if got := References(target, []Other{down, {Target: Target{Address: "e", Service: "svc"}}, other}, unchanged); slices.Contains(got, other) {
		t.Fatalf("they don't while one of the service may be up: %v", got)
	}
}
