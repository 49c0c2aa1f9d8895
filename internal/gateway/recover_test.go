package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// links are the links from one gateway to the endpoints. While they are cut, new connections hang or
// are refused, and open ones are reset or stay open without a byte passing.
type links struct {
	mu    sync.Mutex
	cut   bool
	hangs bool
	open  []*net.TCPConn
}

func (l *links) dial(ctx context.Context, address string) (net.Conn, error) {
	l.mu.Lock()
	cut, hangs := l.cut, l.hangs
	l.mu.Unlock()
	switch {
	case cut && hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case cut:
		return nil, syscall.ECONNREFUSED
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", address)
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open = append(l.open, conn.(*net.TCPConn))
	}
	return conn, err
}

func (l *links) setCut(cut, hangs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.hangs = cut, hangs
	for _, conn := range l.open {
		if cut {
			_ = conn.Close()
		}
	}
	l.open = nil
}

var _ = Describe("A gateway that reaches no endpoint", func() {
	const gateways, tries = 3, 40

	// serve returns how many of the requests to a gateway are served at the first try.
	serve := func(p ports, d *daemon) (served int) {
		for i := range tries {
			if code, _ := d.get(p.callers, "/x/1", "k", names.RequestID, fmt.Sprint(d.ip, "-", i)); code == http.StatusOK {
				served++
			}
		}
		return served
	}

	DescribeTable("serves its callers as others do", func(hangs bool, cutGateways int) {
		s, p := newStandIns(), freePorts()
		s.putTable(5, "k")
		for i := range 3 {
			address, _ := newEndpointServer()
			s.putEndpointAt(fmt.Sprint("e", i), address, false)
		}
		ips := make([]string, gateways)
		for i := range ips {
			ips[i] = fmt.Sprint("127.0.0.", i+1)
		}
		daemons, ofDaemon := make([]*daemon, gateways), make([]*links, gateways)
		for i, ip := range ips {
			ofDaemon[i] = &links{}
			daemons[i] = startWith(p, ip, s.url, ofDaemon[i].dial, ips...)
		}
		for _, d := range daemons {
			Eventually(func() int { return serve(p, d) }, eventualTimeout).Should(Equal(tries))
		}
		for _, l := range ofDaemon[:cutGateways] {
			l.setCut(true, hangs)
		}
		time.Sleep(3 * time.Second) // The users' rule holds from 3 s after the cut on.
		for _, d := range daemons[:cutGateways] {
			Expect(serve(p, d)).To(BeNumerically(">=", tries*2/3), d.ip)
		}
		for _, l := range ofDaemon {
			l.setCut(false, false)
		}
		for _, d := range daemons {
			Eventually(func() int { return serve(p, d) }, eventualTimeout).Should(Equal(tries))
		}
	},
		Entry("if new connections are refused", false, 1),
		Entry("if new connections hang", true, 1),
		Entry("if most gateways are cut", false, 2))
})
