package tunnel_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/reach"
	"github.com/primrosewell/primrosewell/internal/telemetry"
	"github.com/primrosewell/primrosewell/internal/testport"
	"github.com/primrosewell/primrosewell/internal/tunnel"
)

const patience = 10 * time.Second

// node is a gateway's connector and its server for peers.
type node struct {
	*tunnel.Connector
	*tunnel.Server
	ip string
	// cut makes direct connections fail.
	cut      atomic.Bool
	draining atomic.Bool
	listener net.Listener
}

// nodes are gateways at addresses of their own, which list the same endpoints.
type nodes struct {
	port    int
	targets []reach.Target
	all     []*node
	// crashed has the addresses of the endpoints of which the gateways have evidence of a crash.
	crashed []string
}

func newNodes(n int, endpoints ...net.Listener) *nodes {
	free, err := testport.Free(1)
	Expect(err).NotTo(HaveOccurred())
	f := &nodes{port: free[0]}
	for _, e := range endpoints {
		f.targets = append(f.targets, reach.Target{Address: e.Addr().String(), Service: "svc"})
	}
	for i := range n {
		f.add(fmt.Sprint("127.0.0.", i+1))
	}
	return f
}

func (f *nodes) find(address string) (reach.Target, bool) {
	return lo.Find(f.targets, func(t reach.Target) bool { return t.Address == address })
}

func (f *nodes) add(ip string) {
	n := &node{ip: ip}
	dial := httpio.DialTCP(net.ParseIP(ip))
	n.Connector = tunnel.NewConnector(tunnel.ConnectorOptions{
		VM: ip, Port: f.port, DialPeer: dial, Paths: reach.NewPaths(nil), Find: f.find, Log: telemetry.SilentLogger(), Scope: tally.NoopScope,
		Direct: func(ctx context.Context, address string) (net.Conn, error) {
			if n.cut.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return dial(ctx, address)
		},
		Candidates: func() []reach.Candidate {
			others := lo.Reject(f.all, func(other *node, _ int) bool { return other == n || other.draining.Load() })
			return lo.Map(others, func(other *node, _ int) reach.Candidate { return reach.Candidate{Address: other.ip} })
		},
		Leaving: func(address string) bool {
			return lo.ContainsBy(f.all, func(other *node) bool { return other.ip == address && other.draining.Load() })
		},
		Targets: func() []reach.Target { return f.targets },
		Crashed: func(t reach.Target) bool { return lo.Contains(f.crashed, t.Address) },
		Keep:    func(_ string, conn net.Conn) { _ = conn.Close() },
		Abandon: func(string) {},
	})
	n.Server = tunnel.NewServer(tunnel.ServerOptions{
		IsPeer: func(peer string) bool {
			return lo.ContainsBy(f.all, func(other *node) bool { return other.ip == peer })
		},
		Draining: n.draining.Load, Connector: n.Connector, Log: telemetry.SilentLogger(), Scope: tally.NoopScope,
	})
	var err error
	n.listener, err = net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(f.port)))
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: n.Wrap(http.NotFoundHandler())}
	go func() { _ = server.Serve(n.listener) }()
	DeferCleanup(server.Close)
	f.all = append(f.all, n)
}

// newServer listens and passes the connections on.
func newServer() (net.Listener, chan net.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() }) // It may be closed already.
	accepted := make(chan net.Conn, 8)
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			accepted <- conn
		}
	}()
	return listener, accepted
}

var _ = Describe("A connection through a carrier", func() {
	ctx := context.Background()
	dial := func(n *node, endpoint net.Listener) (net.Conn, error) {
		return n.Dial(ctx, endpoint.Addr().String(), "r")
	}
	// open returns both ends of a connection of a gateway that is cut.
	open := func() (f *nodes, near, far net.Conn) {
		endpoint, accepted := newServer()
		f = newNodes(2, endpoint)
		f.all[0].cut.Store(true)
		near, err := dial(f.all[0], endpoint)
		Expect(err).NotTo(HaveOccurred())
		Eventually(accepted, patience).Should(Receive(&far))
		return f, near, far
	}

	It("carries bytes both ways, and names its carrier", func() {
		f, near, far := open()
		_, err := near.Write([]byte("ask"))
		Expect(err).NotTo(HaveOccurred())
		buffer := make([]byte, 3)
		Expect(io.ReadFull(far, buffer)).To(Equal(3))
		_, err = far.Write([]byte("tell"))
		Expect(err).NotTo(HaveOccurred())
		Expect(far.Close()).To(Succeed())
		Expect(io.ReadAll(near)).To(BeEquivalentTo("tell"))
		Expect(near.(*tunnel.Conn).Carrier).To(Equal(f.all[1].ip))
		Eventually(f.all[1].Active, patience).Should(BeZero())
	})

	It("ends with a reset if the endpoint's did, so that a broken response can't look complete", func() {
		_, near, far := open()
		_, err := far.Write([]byte("half"))
		Expect(err).NotTo(HaveOccurred())
		buffer := make([]byte, 4)
		Expect(io.ReadFull(near, buffer)).To(Equal(4))
		Expect(far.(*net.TCPConn).SetLinger(0)).To(Succeed())
		Expect(far.Close()).To(Succeed())
		_, err = io.ReadAll(near)
		Expect(err).To(HaveOccurred())
	})

	It("is closed at the endpoint when the gateway closes it", func() {
		f, near, far := open()
		Expect(near.Close()).To(Succeed())
		_, err := io.ReadAll(far)
		Expect(errors.Is(err, net.ErrClosed)).To(BeFalse())
		Expect(f.all[0].Carried()).To(BeZero())
	})

	It("carries no further request once its carrier drains, and no new one is opened there", func() {
		f, near, _ := open()
		f.all[1].draining.Store(true)
		Expect(near.(*tunnel.Conn).Stale()).To(BeTrue())
		_, err := f.all[0].Dial(ctx, f.targets[0].Address, "r")
		Expect(err).To(HaveOccurred())
	})

	It("is opened through another carrier if the first is cut as well", func() {
		endpoint, _ := newServer()
		other, _ := newServer()
		f := newNodes(5, endpoint, other)
		for _, n := range f.all[:4] {
			n.cut.Store(true)
		}
		for range 5 {
			conn, err := dial(f.all[0], endpoint)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.(*tunnel.Conn).Carrier).To(Equal(f.all[4].ip))
		}
	})

	It("tells an endpoint that is down from a gateway that is cut", func() {
		endpoint, _ := newServer()
		other, _ := newServer()
		f := newNodes(3, endpoint, other)
		reserved, err := testport.CloseAndReserve(endpoint)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(reserved.Release)
		for _, cut := range []bool{false, true} {
			f.all[0].cut.Store(cut)
			_, err := dial(f.all[0], endpoint)
			Expect(err).To(MatchError(tunnel.ErrDown))
		}
		for _, n := range f.all {
			n.cut.Store(true)
		}
		_, err = dial(f.all[0], other)
		Expect(err).To(MatchError(tunnel.ErrUnconfirmed), "nobody reaches the service")
	})

	It("tells that the last endpoint of a service has crashed while the others are known to be down", func() {
		first, _ := newServer()
		second, _ := newServer()
		f := newNodes(3, first, second)
		crash := func(endpoint net.Listener) error {
			reserved, err := testport.CloseAndReserve(endpoint)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(reserved.Release)
			_, err = dial(f.all[0], endpoint)
			return err
		}
		Expect(crash(first)).To(MatchError(tunnel.ErrDown))
		f.crashed = append(f.crashed, first.Addr().String())
		Expect(crash(second)).To(MatchError(tunnel.ErrDown))
	})

	// Guards against BUDGET: no crash of the last endpoint was found beside one that was lost permanently.
	It("tells that the last endpoint of a service has crashed beside one that is down permanently and still listed", func() {
		lost, _ := newServer()
		last, _ := newServer()
		f := newNodes(3, lost, last)
		down := func(endpoint net.Listener) {
			reserved, err := testport.CloseAndReserve(endpoint)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(reserved.Release)
		}
		down(lost)
		for _, n := range f.all {
			_, err := dial(n, lost)
			Expect(err).To(MatchError(tunnel.ErrDown))
		}
		time.Sleep(1100 * time.Millisecond) // It is down for longer than a cut of both would explain.
		down(last)
		_, err := dial(f.all[0], last)
		Expect(err).To(MatchError(tunnel.ErrDown))
	})

	It("can't tell a crash of the last endpoint of a service from a cut if no endpoint of another one is reached", func() {
		first, _ := newServer()
		second, _ := newServer()
		other, _ := newServer()
		f := newNodes(3, first, second, other)
		f.targets[2].Service = "another"
		f.crashed = append(f.crashed, first.Addr().String())
		for _, endpoint := range []net.Listener{first, second} {
			reserved, err := testport.CloseAndReserve(endpoint)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(reserved.Release)
		}
		for _, n := range f.all {
			n.cut.Store(true)
		}
		_, err := dial(f.all[0], second)
		Expect(err).To(MatchError(tunnel.ErrUnconfirmed))
		for _, n := range f.all {
			n.cut.Store(false)
		}
		_, err = dial(f.all[0], second)
		Expect(err).To(MatchError(tunnel.ErrDown))
	})

	It("tells an endpoint that is down beside many others that are", func() {
		alive, _ := newServer()
		endpoints := []net.Listener{alive}
		for range 7 {
			endpoint, _ := newServer()
			endpoints = append(endpoints, endpoint)
		}
		f := newNodes(1, endpoints...)
		for _, endpoint := range endpoints[1:] {
			reserved, err := testport.CloseAndReserve(endpoint)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(reserved.Release)
			_, err = dial(f.all[0], endpoint)
			Expect(err).To(MatchError(tunnel.ErrDown))
		}
	})

	It("is for peers and listed endpoints alone", func() {
		endpoint, _ := newServer()
		unlisted, _ := newServer()
		f := newNodes(2, endpoint)
		verdict := func(from, address string) string {
			conn, err := httpio.DialTCP(net.ParseIP(from))(ctx, f.all[1].listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", address, address)
			Expect(err).NotTo(HaveOccurred())
			buffer := make([]byte, 15)
			_, err = io.ReadFull(conn, buffer)
			Expect(err).NotTo(HaveOccurred())
			return string(buffer[9:12])
		}
		Expect(verdict("127.0.0.1", endpoint.Addr().String())).To(Equal("200"))
		Expect(verdict("127.0.0.1", unlisted.Addr().String())).To(Equal("404"))
		Expect(verdict("127.0.0.9", endpoint.Addr().String())).To(Equal("403"))
	})
})
