// Package testport finds free ports for tests that start several processes on fixed ports.
package testport

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// minPort (inclusive) and maxPort (exclusive) are the port range. It lies below the usual
	// ephemeral range, from which an outgoing connection could take a port between its
	// selection and its use.
	minPort, maxPort = 10_000, 32_000
	// triesPerPort limits the candidate ports checked for each requested port.
	triesPerPort = 200
)

// errNoFreePort means that too many candidate ports were in use.
var errNoFreePort = errors.New("no free port was found")

// allocated holds the ports that Free has returned in this process; they may not be in use yet.
var (
	mu        sync.Mutex
	allocated = make(map[int]bool)
)

// Free returns n ports that no TCP or UDP socket uses on any IPv4 address. It returns a port
// only once in this process. Another process may take a port before it is used; this happens
// about once in many thousands of ports.
func Free(n int) ([]int, error) {
	mu.Lock()
	defer mu.Unlock()
	ports := make([]int, 0, n)
	for range n * triesPerPort {
		if len(ports) == n {
			break
		}
		port := minPort + rand.IntN(maxPort-minPort)
		if !allocated[port] && isFree(port) {
			ports, allocated[port] = append(ports, port), true
		}
	}
	if len(ports) < n {
		return nil, errNoFreePort
	}
	return ports, nil
}

func isFree(port int) bool {
	address := fmt.Sprintf("0.0.0.0:%d", port)
	var listen net.ListenConfig
	tcp, err := listen.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = tcp.Close() }()
	udp, err := listen.ListenPacket(context.Background(), "udp4", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
