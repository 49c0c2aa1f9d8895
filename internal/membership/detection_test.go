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

// detectionRuns is the number of runs of each failure.
const detectionRuns = 10

// node is a member with its own peer server and client.
type node struct {
	id, address string
	members     *membership.Membership
	server      *peer.Server
	client      *peer.Client
	stop        context.CancelFunc
}

func newNode(b *testing.B, mesh *relay.Mesh, id, incarnation string, seeds []string) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{id: id, address: l.Addr().String(), stop: stop}
	options := peer.ClientOptions{Key: "k"}
	if mesh != nil {
		options.Dial = mesh.Dialer(id)
	}
	n.client = peer.NewClient(options)
	n.members = membership.New(ctx, membership.Options{
		Self:  membership.Member{ID: id, Incarnation: incarnation, PeerAddress: n.address, DataCentre: "d"},
		Seeds: seeds, Transport: n.client,
	})
	n.server = peer.NewServer(peer.ServerOptions{Key: "k", Handlers: peer.Handlers{Members: n.members}})
	go func() { _ = n.server.Serve(l) }()
	return n
}

func (n *node) shutDown() {
	n.stop()
	_ = n.server.Close()
	n.client.Close()
}

// BenchmarkDetection injects each failure into a group of eight members with the default
// settings, on loopback, and reports the time until every affected member has detected it.
// Run it with
//
//	go test ./internal/membership -run xxx -bench Detection -benchtime 1x
func BenchmarkDetection(b *testing.B) {
	suspected := func(id string) func(*node) bool {
		return func(s *node) bool { return stateOf(s.members, id)() != membership.Live }
	}
	failures := map[string]func(mesh *relay.Mesh, all []*node) (seen func(*node) bool, observers []*node){
		"kill": func(_ *relay.Mesh, all []*node) (func(*node) bool, []*node) {
			all[1].shutDown()
			return suspected(all[1].id), slices.Delete(slices.Clone(all), 1, 2)
		},
		"silence": func(mesh *relay.Mesh, all []*node) (func(*node) bool, []*node) {
			for _, s := range all {
				mesh.Cut(s.id, all[1].address, relay.Both)
				mesh.Cut(all[1].id, s.address, relay.Both)
			}
			return suspected(all[1].id), slices.Delete(slices.Clone(all), 1, 2)
		},
		"cut_in_one_direction": func(mesh *relay.Mesh, all []*node) (func(*node) bool, []*node) {
			mesh.Cut(all[0].id, all[1].address, relay.Forward)
			return func(s *node) bool {
				other := lo.Ternary(s == all[0], all[1].id, all[0].id)
				return suspected(other)(s)
			}, all[:2]
		},
		"leave": func(_ *relay.Mesh, all []*node) (func(*node) bool, []*node) {
			go all[1].members.Leave(context.Background())
			return suspected(all[1].id), slices.Delete(slices.Clone(all), 1, 2)
		},
	}
	for _, name := range slices.Sorted(slices.Values(lo.Keys(failures))) {
		b.Run(name, func(b *testing.B) {
			var times []float64
			for range detectionRuns {
				// Without a relay for "kill": a relay would accept connections that the kernel
				// refuses once the process is killed.
				times = append(times, detect(b, name != "kill", failures[name]))
			}
			slices.Sort(times)
			b.ReportMetric(times[len(times)/2], "ms/median")
			b.ReportMetric(times[len(times)-1], "ms/max")
		})
	}
}

func detect(b *testing.B, relayed bool, fail func(*relay.Mesh, []*node) (func(*node) bool, []*node)) float64 {
	var mesh *relay.Mesh
	if relayed {
		mesh = relay.NewMesh()
		defer mesh.Close()
	}
	var nodes []*node
	for i := range 8 {
		seeds := lo.Map(nodes, func(s *node, _ int) string { return s.address })
		nodes = append(nodes, newNode(b, mesh, fmt.Sprintf("vm-%d", i), "1", seeds))
	}
	defer func() {
		for _, s := range nodes {
			s.shutDown()
		}
	}()
	await(b, nodes, func(s *node) bool { return len(live(s.members)) == len(nodes) })
	time.Sleep(2 * membership.DefaultInterval)
	start := time.Now()
	seen, observers := fail(mesh, nodes)
	await(b, observers, seen)
	return float64(time.Since(start).Microseconds()) / 1000
}

func await(b *testing.B, nodes []*node, done func(*node) bool) {
	for deadline := time.Now().Add(20 * time.Second); !lo.EveryBy(nodes, done); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("failure not detected, or members not live, within 20 s")
		}
	}
}
