// Package testport finds ports for tests that start several processes on fixed ports.
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
	// lowest and highest bound the ports. They lie below those that systems commonly give
	// to outgoing connections, which would take one between its choice and its use.
	lowest, highest = 10_000, 32_000
	// tries bounds the ports that are looked at for each one wanted.
	tries = 200
)

// errNone means that too many ports in a row were taken.
var errNone = errors.New("no free port was found")

// given are the ports that this process has handed out; they may not be in use yet.
var (
	mu    sync.Mutex
	given = make(map[int]bool)
)

// Free returns n ports that no socket uses on any address, for TCP and UDP, each to this
// process once. Another process may take one before it is used, once in many thousands.
func Free(n int) ([]int, error) {
	mu.Lock()
	defer mu.Unlock()
	ports := make([]int, 0, n)
	for range n * tries {
		if len(ports) == n {
			break
		}
		port := lowest + rand.IntN(highest-lowest)
		if !given[port] && isFree(port) {
			ports, given[port] = append(ports, port), true
		}
	}
	if len(ports) < n {
		return nil, errNone
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
