package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/soak"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
	"github.com/primrosewell/primrosewell/internal/standin/relay"
)

// strike lets a fault happen, and notes when it did.
func (s *soakRun) strike(f soak.Fault) {
	span := soak.Span{Fault: f, Started: time.Now()}
	until := func() { time.Sleep(time.Until(s.started.Add(f.To))) }
	switch f.Kind {
	case soak.KillGateway, soak.DrainGateway, soak.FreezeGateway, soak.ReloadGateway, soak.CutFromEndpoints, soak.CutFromPeers:
		s.strikeGateway(f, until)
	case soak.CrowdGateway:
		s.crowd(f)
	case soak.CutFromPlatform:
		s.links[f.Index].cut(relay.Direction(1 + f.Variant%3))
		until()
		s.links[f.Index].restore()
	case soak.DelayEndpoint, soak.ResetEndpoint, soak.CutEndpoint, soak.CrashEndpoint:
		s.strikeEndpoint(f, until)
	case soak.BreakResponses, soak.RepeatResponses, soak.GarbleResponses:
		s.troubles.begin(f)
		until()
		s.troubles.end(f)
	case soak.RestorePlatform:
		s.restorePlatform(f, until)
	case soak.RefusePlatform, soak.HangPlatform, soak.StalePlatform:
		s.strikePlatform(f, until)
	case soak.ChangeTable:
		s.changeTable()
	case soak.DrainEndpoint:
		s.drainEndpoint(f, until)
	case soak.LeaveEndpoint:
		s.leaveEndpoint(f, until)
	case soak.QuietEndpoint:
		s.conducts.setQuiet(f.Index, quietTimes[f.Variant%len(quietTimes)])
		until()
		s.conducts.setQuiet(f.Index, 0)
	case soak.ReplaceEndpoint:
		s.replaceEndpoint(f, until)
	case soak.LimitEndpoint:
		s.conducts.setLimit(f.Index, limits[f.Variant%len(limits)])
		until()
		s.conducts.setLimit(f.Index, 0)
	case soak.BrittleEndpoints:
		s.beBrittle(f, until)
	case soak.DeadlyRequest:
		s.sendDeadlyRequest(f)
	case soak.DeadlyPart:
		s.sendDeadlyPart(f)
	}
	span.Ended = time.Now()
	s.history.RecordSpan(span)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, span)
}

func (s *soakRun) strikeGateway(f soak.Fault, until func()) {
	g := s.gateways[f.Index]
	g.striking.Lock() // A drain may take longer than its plan.
	defer g.striking.Unlock()
	switch f.Kind {
	case soak.FreezeGateway:
		g.signal(syscall.SIGSTOP)
		until()
		g.signal(syscall.SIGCONT)
		return
	case soak.ReloadGateway:
		s.reload(g, f.Variant%2 == 0)
		return
	case soak.CutFromEndpoints:
		s.drill(g, fmt.Sprintf(`{"cut_from_endpoints":%q}`, []string{"refuse", "hang"}[f.Variant%2]))
		until()
		s.drill(g, `{}`)
		return
	case soak.CutFromPeers:
		s.cutFromPeers(f, g, until)
		return
	case soak.KillGateway:
		g.signal(syscall.SIGKILL)
		<-g.session.Exited
	default:
		began := time.Now()
		g.signal(syscall.SIGTERM)
		select {
		case <-g.session.Exited:
		case <-time.After(2 * soakGrace):
			s.faults.add("gateway %d did not end within its grace", f.Index)
			g.signal(syscall.SIGKILL)
			<-g.session.Exited
		}
		if code, took := g.session.ExitCode(), time.Since(began); code != 0 || took > soakGrace+time.Second {
			s.faults.add("gateway %d ended with %d after %s of a grace of %s", f.Index, code, took, soakGrace)
		}
	}
	until()
	g.process = launch("gateway", "-settings", g.file)
	for s.ctx.Err() == nil && !accepts(fmt.Sprintf("%s:%d", g.ip, s.ports[0])) {
		time.Sleep(callerPause)
	}
}

// cutFromPeers cuts a gateway from the others, and from the platform too if the fault says so.
func (s *soakRun) cutFromPeers(f soak.Fault, g *gatewayProcess, until func()) {
	if f.FromPlatformToo() {
		s.links[f.Index].cut(relay.Both)
		defer s.links[f.Index].restore()
	}
	s.drill(g, `{"cut_from_peers":["all"]}`)
	until()
	s.drill(g, `{}`)
}

// platformLink is the link from a gateway to the platform. Cuts of it may overlap.
type platformLink struct {
	*relay.Relay
	mu   sync.Mutex
	cuts int
}

func (l *platformLink) cut(d relay.Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts++
	l.Cut(d)
}

// restore ends the last of overlapping cuts.
func (l *platformLink) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts--; l.cuts == 0 {
		l.Restore()
	}
}

// drill begins, changes or ends a drill of the gateway.
func (s *soakRun) drill(g *gatewayProcess, drill string) {
	settings := strings.TrimSuffix(strings.TrimSpace(g.settings), "}") + fmt.Sprintf(`,"drill":%s}`, drill)
	if err := os.WriteFile(g.file, []byte(settings), 0o600); err != nil {
		s.faults.add("settings: %s", err)
	}
	g.signal(syscall.SIGHUP)
}

func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// reload writes the settings again, after broken ones if asked for.
func (s *soakRun) reload(g *gatewayProcess, broken bool) {
	contents := []string{g.settings}
	if broken {
		contents = []string{`{"vm":`, g.settings}
	}
	for _, content := range contents {
		if err := os.WriteFile(g.file, []byte(content), 0o600); err != nil {
			s.faults.add("settings: %s", err)
		}
		g.signal(syscall.SIGHUP)
		time.Sleep(5 * callerPause)
	}
}

func (s *soakRun) strikeEndpoint(f soak.Fault, until func()) {
	r := s.relays[f.Index]
	switch f.Kind {
	case soak.DelayEndpoint:
		r.SetDelay(time.Duration(20+f.Variant%400) * time.Millisecond)
		until()
		r.SetDelay(0)
	case soak.CutEndpoint:
		r.Cut(relay.Direction(1 + f.Variant%3))
		until()
		r.Restore()
	case soak.CrashEndpoint:
		r.SetRefuse(true)
		r.ResetConnections()
		until()
		r.SetRefuse(false)
	default:
		r.ResetConnections()
	}
}

func (s *soakRun) strikePlatform(f soak.Fault, until func()) {
	faults := platformstandin.Faults{Outage: platformstandin.OutageRefuse}
	if f.Kind == soak.HangPlatform {
		faults.Outage = platformstandin.OutageHang
	}
	if f.Kind == soak.StalePlatform {
		faults = platformstandin.Faults{StaleMS: 200 + f.Variant%1500, CutWatches: true}
	}
	s.setFaults(faults)
	until()
	s.setFaults(platformstandin.Faults{})
}

// restorePlatform makes the platform come back from an older copy of its data. Then the
// operator and the endpoints write their objects again.
func (s *soakRun) restorePlatform(f soak.Fault, until func()) {
	s.control(platformstandin.RestorePath, platformstandin.RestoreRequest{AgeMS: 100 + f.Variant%3000})
	until()
	s.tables.Lock()
	s.untilDone(func() error { return s.putSoakTable(s.version, s.key) })
	s.tables.Unlock()
	for i := range s.relays {
		s.untilDone(func() error { return s.writeRegistration(i) })
	}
	s.mu.Lock()
	replaced := slices.Clone(s.replaced)
	s.mu.Unlock()
	for _, name := range replaced {
		s.untilDone(func() error { return s.unlist(name) })
	}
}

func (s *soakRun) setFaults(faults platformstandin.Faults) {
	s.control(platformstandin.FaultsPath, faults)
}

// control sends a request to the control API of the platform's stand-in.
func (s *soakRun) control(path string, request any) {
	data, err := json.Marshal(request)
	if err != nil {
		s.faults.add("faults: %s", err)
		return
	}
	response, err := http.Post("http://"+s.platformAddress+path, "application/json", bytes.NewReader(data))
	if err != nil {
		s.faults.add("faults: %s", err)
		return
	}
	_ = response.Body.Close()
}

// changeTable adds a key and revokes the one before.
func (s *soakRun) changeTable() {
	s.tables.Lock()
	defer s.tables.Unlock()
	s.mu.Lock()
	s.version++
	version, revoked := s.version, s.key
	s.key = "key-" + strconv.FormatInt(version, 10)
	added := s.key
	s.mu.Unlock()
	if s.untilDone(func() error { return s.putSoakTable(version, added) }) {
		s.history.RecordChange(soak.Change{At: time.Now(), Added: added, Revoked: revoked, Endpoint: -1})
	}
}

func (s *soakRun) drainEndpoint(f soak.Fault, until func()) {
	s.registering[f.Index].Lock() // A write may take longer than its plan.
	defer s.registering[f.Index].Unlock()
	s.register(f.Index, func(r *registration) { r.draining = true })
	if !s.untilDone(func() error { return s.writeRegistration(f.Index) }) {
		return
	}
	change := soak.Change{At: time.Now(), Endpoint: f.Index}
	if f.Variant%2 == 0 {
		s.register(f.Index, func(r *registration) { r.unlisted = true })
		s.untilDone(func() error { return s.writeRegistration(f.Index) })
	}
	until()
	change.RestoredAt = time.Now()
	s.register(f.Index, func(r *registration) { r.draining, r.unlisted, r.born = false, false, s.born.Add(1) })
	s.untilDone(func() error { return s.writeRegistration(f.Index) })
	s.history.RecordChange(change)
}

// replaceEndpoint has an endpoint of another version in the place of one for a while.
func (s *soakRun) replaceEndpoint(f soak.Fault, until func()) {
	s.registering[f.Index].Lock()
	defer s.registering[f.Index].Unlock()
	first := s.firstVersion(f.Index)
	s.startVersion(f.Index, endpointVersions[(slices.Index(endpointVersions, first)+1)%len(endpointVersions)])
	until()
	s.startVersion(f.Index, first)
}

// leaveEndpoint has an endpoint say that it leaves, in some variants to the platform too, and
// starts another one in its place.
func (s *soakRun) leaveEndpoint(f soak.Fault, until func()) {
	s.registering[f.Index].Lock()
	defer s.registering[f.Index].Unlock()
	s.register(f.Index, func(r *registration) { s.conducts.leave(r.name) })
	if f.Variant%2 == 0 {
		s.register(f.Index, func(r *registration) { r.draining = true })
		s.untilDone(func() error { return s.writeRegistration(f.Index) })
	}
	until()
	s.startVersion(f.Index, s.firstVersion(f.Index))
}

// startVersion ends an endpoint and starts another one at its address, with a new name.
func (s *soakRun) startVersion(i int, version string) {
	s.mu.Lock()
	former := s.registrations[i]
	next := registration{name: fmt.Sprintf("e%d.%d", i, len(s.replaced)+1), version: version, born: s.born.Add(1)}
	s.replaced = append(s.replaced, former.name)
	s.mu.Unlock()
	address, end, err := s.serveEndpoint(i, next)
	if err != nil {
		s.faults.add("endpoint: %s", err)
		return
	}
	next.end = end
	s.relays[i].SetTarget(address)
	former.end()
	s.relays[i].ResetConnections()
	s.register(i, func(r *registration) { *r = next })
	s.untilDone(func() error { return s.unlist(former.name) })
	s.untilDone(func() error { return s.writeRegistration(i) })
}

// unlist takes an endpoint off the platform's list.
func (s *soakRun) unlist(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), soakDeadline)
	defer cancel()
	o, err := s.store.Get(ctx, "endpoints", name)
	if platform.ReasonOf(err) == platform.NotFound {
		return nil
	}
	if err != nil {
		return err
	}
	return s.store.Delete(ctx, "endpoints", name, o.Version)
}

// untilDone tries a write until the platform takes it.
func (s *soakRun) untilDone(write func() error) bool {
	for s.ctx.Err() == nil {
		if write() == nil {
			return true
		}
		time.Sleep(5 * callerPause)
	}
	return false
}
