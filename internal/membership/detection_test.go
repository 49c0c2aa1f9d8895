package membership_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/peer"
	"github.com/primrosewell/primrosewell/internal/standin/relay"
)

// detectionRuns is how often each failure is caused.
const detectionRuns = 10

// station is a member with its listener.
type station struct {
	id, address string
	members     *membership.Membership
	server      *peer.Server
	client      *peer.Client
	stop        context.CancelFunc
}

func newStation(b *testing.B, mesh *relay.Mesh, id, incarnation string, seeds []string) *station {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &station{id: id, address: l.Addr().String(), stop: stop}
	options := peer.ClientOptions{Key: "k"}
	if mesh != nil {
		options.Dial = mesh.Dialer(id)
	}
	s.client = peer.NewClient(options)
	s.members = membership.New(ctx, membership.Options{
		Self:  membership.Member{ID: id, Incarnation: incarnation, PeerAddress: s.address, DataCentre: "d"},
		Seeds: seeds, Transport: s.client,
	})
	s.server = peer.NewServer(peer.ServerOptions{Key: "k", Handlers: peer.Handlers{Members: s.members}})
	go func() { _ = s.server.Serve(l) }()
	return s
}

func (s *station) end() {
	s.stop()
	_ = s.server.Close()
	s.client.Close()
}

// BenchmarkDetection causes each failure among eight members with the default
// settings, on loopback, and reports how long it takes until every other member has
// seen it. Run it with
//
//	go test ./internal/membership -run xxx -bench Detection -benchtime 1x
func BenchmarkDetection(b *testing.B) {
	suspected := func(id string) func(*station) bool {
		return func(s *station) bool { return stateOf(s.members, id)() != membership.Live }
	}
	failures := map[string]func(mesh *relay.Mesh, all []*station) (seen func(*station) bool, by []*station){
		"kill": func(_ *relay.Mesh, all []*station) (func(*station) bool, []*station) {
			all[1].end()
			return suspected(all[1].id), slices.Delete(slices.Clone(all), 1, 2)
		},
		"silence": func(mesh *relay.Mesh, all []*station) (func(*station) bool, []*station) {
			for _, s := range all {
				mesh.Cut(s.id, all[1].address, relay.Both)
				mesh.Cut(all[1].id, s.address, relay.Both)
			}
			return suspected(all[1].id), slices.Delete(slices.Clone(all), 1, 2)
		},
		"cut_in_one_direction": func(mesh *relay.Mesh, all []*station) (func(*station) bool, []*station) {
			mesh.Cut(all[0].id, all[1].address, relay.Forward)
			return func(s *station) bool {
				other := lo.Ternary(s == all[0], all[1].id, all[0].id)
				return suspected(other)(s)
			}, all[:2]
		},
		"leave": func(_ *relay.Mesh, all []*station) (func(*station) bool, []*station) {
			go all[1].members.Leave(context.Background())
			return suspected(all[1].id), slices.Delete(slices.Clone(all), 1, 2)
		},
	}
	for _, name := range slices.Sorted(slices.Values(lo.Keys(failures))) {
		b.Run(name, func(b *testing.B) {
			var times []float64
			for range detectionRuns {
				// A relay would accept the calls that the kernel of a killed process refuses.
				times = append(times, detect(b, name != "kill", failures[name]))
			}
			slices.Sort(times)
			b.ReportMetric(times[len(times)/2], "ms/median")
			b.ReportMetric(times[len(times)-1], "ms/max")
		})
	}
}

func detect(b *testing.B, relayed bool, fail func(*relay.Mesh, []*station) (func(*station) bool, []*station)) float64 {
	var mesh *relay.Mesh
	if relayed {
		mesh = relay.NewMesh()
		defer mesh.Close()
	}
	var all []*station
	for i := range 8 {
		seeds := lo.Map(all, func(s *station, _ int) string { return s.address })
		all = append(all, newStation(b, mesh, fmt.Sprintf("vm-%d", i), "1", seeds))
	}
	defer func() {
		for _, s := range all {
			s.end()
		}
	}()
	await(b, all, func(s *station) bool { return len(live(s.members)) == len(all) })
	time.Sleep(2 * membership.DefaultInterval)
	start := time.Now()
	seen, by := fail(mesh, all)
	await(b, by, seen)
	return float64(time.Since(start).Microseconds()) / 1000
}

func await(b *testing.B, all []*station, done func(*station) bool) {
	for deadline := time.Now().Add(20 * time.Second); !lo.EveryBy(all, done); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("not seen within 20 s")
		}
	}
}
