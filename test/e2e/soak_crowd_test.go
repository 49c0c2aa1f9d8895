package e2e_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/soak"
)

const (
	// crowdClients is the number of clients of a crowd. Each sends up to crowdBytes, stays for crowdStay or
	// until it is refused, closes and comes again.
	crowdClients, crowdBytes, crowdStay = 30, 3_900_000, 200 * time.Millisecond
	// crowdDeadline bounds each write of such a client.
	crowdDeadline = time.Second
)

// crowdHeads begin the requests of a crowd: a body in chunks that does not end, one that is announced and
// stops short, a header that does not end, and a request that the peers' listener refuses.
var crowdHeads = []string{
	"POST /i/crowd HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
	"POST /i/crowd HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n",
	"GET /i/crowd HTTP/1.1\r\nHost: h\r\n",
	"POST /primrosewell.gossip.v1.Snapshot/Fetch HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// crowd puts clients before a gateway until the fault ends. None of their requests is complete, so none runs.
func (s *soakRun) crowd(f soak.Fault) {
	variant := f.Variant % len(crowdHeads)
	port := s.ports[0]
	if variant == 3 {
		port = s.ports[3]
	}
	address, end := fmt.Sprintf("%s:%d", s.gateways[f.Index].ip, port), s.started.Add(f.To)
	piece := []byte("3e80\r\n" + string(bytes.Repeat([]byte("a"), 16_000)) + "\r\n")
	if variant == 2 {
		piece = []byte("X-Padding: a\r\n")
	}
	var clients sync.WaitGroup
	for range crowdClients {
		clients.Go(func() {
			for s.ctx.Err() == nil && time.Now().Before(end) {
				sendUnended(address, []byte(crowdHeads[variant]), piece)
				time.Sleep(callerPause)
			}
		})
	}
	clients.Wait()
}

// sendUnended sends a request without its end, which may be refused at any time.
func sendUnended(address string, head, piece []byte) {
	conn, err := net.DialTimeout("tcp4", address, crowdDeadline)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for sent := 0; sent < crowdBytes; sent += len(piece) {
		_ = conn.SetWriteDeadline(time.Now().Add(crowdDeadline))
		if _, err := conn.Write(head); err != nil {
			return
		}
		head = piece
	}
	_ = conn.SetReadDeadline(time.Now().Add(crowdStay))
	_, _ = io.Copy(io.Discard, conn)
}
