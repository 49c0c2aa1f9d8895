//go:build hardload

package hardload_test

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// The clients are fixed: a change of the product must not thin them out.
const (
	// largeChunkClients send a body of largeChunkBytes in chunks of 16 KB, stop short of its end and
	// stay; smallChunkClients one of smallChunkBytes in chunks of one byte.
	largeChunkClients, largeChunkBytes = 60, 3_900_000
	smallChunkClients, smallChunkBytes = 60, 900_000
	// overLimitClients send oversizeBytes, with a length announced in advance and others in chunks.
	overLimitClients, oversizeBytes = 40, 12_000_000
	// announcingClients announce a body within the limit, send a thousand bytes of it and stay.
	announcingClients, announcedBytes = 60, 3_900_000
	// slowReaders request a large response and read none of it.
	slowReaders = 300
	// idleClients open a connection to each listener and send the beginning of a request.
	idleClients = 700
	// strayClients send a body of strayBytes to each listener that is not for callers.
	strayClients, strayBytes = 40, 8_000_000
	// headerClients send headerBytes of a header without its end to each listener.
	headerClients, headerBytes = 150, 900_000
)

// clients are connections that stay open until the spec ends.
type clients struct {
	group sync.WaitGroup
	mu    sync.Mutex
	conns []net.Conn
	// ended is set when the spec ends.
	ended bool
}

func newClients() *clients {
	c := &clients{}
	DeferCleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = true
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	})
	return c
}

// start opens n connections that send a request with its body pieces and stay open. A refusal, or the
// close of the connection by the process, ends the sending of one.
func (c *clients) start(n int, address string, receiveBuffer int, head func() string, pieces func(send func([]byte) error) error) {
	for range n {
		c.group.Go(func() { c.send(address, receiveBuffer, head, pieces) })
	}
}

// startUnawaited is start for clients whose sending may block until the spec ends.
func (c *clients) startUnawaited(n int, address string, head func() string, pieces func(send func([]byte) error) error) {
	for range n {
		go c.send(address, 0, head, pieces)
	}
}

func (c *clients) send(address string, receiveBuffer int, head func() string, pieces func(send func([]byte) error) error) {
	dialer := net.Dialer{Timeout: patience, Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return // Refused, which is allowed.
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	ended := c.ended
	c.mu.Unlock()
	if ended {
		_ = conn.Close()
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(patience))
	send := func(data []byte) error {
		_, err := conn.Write(data)
		return err
	}
	if send([]byte(head())) == nil && pieces != nil {
		_ = pieces(send)
	}
}

// chunks sends total bytes in chunks of a size, without the last chunk.
func chunks(total, size int) func(func([]byte) error) error {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("a"), size))
	batch := bytes.Repeat(chunk, max(1, 16_000/size))
	return func(send func([]byte) error) error {
		for sent := 0; sent < total; sent += max(1, 16_000/size) * size {
			if err := send(batch); err != nil {
				return err
			}
		}
		return nil
	}
}

// plain sends total bytes.
func plain(total int) func(func([]byte) error) error {
	batch := bytes.Repeat([]byte("a"), min(total, 16_000))
	return func(send func([]byte) error) error {
		for sent := 0; sent < total; sent += len(batch) {
			if err := send(batch); err != nil {
				return err
			}
		}
		return nil
	}
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

func announced(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// programs are the processes that each set of clients is put before.
var programs = map[string]func(descriptors int) target{"gateway": startGateway, "serve": startServe}

var _ = Describe("Clients that respect no limits", func() {
	for name, start := range programs {
		Describe("before "+name, func() {
			// Guards against bodies that together exceed the memory of the VM, though each is within its limit.
			It("send many bodies at once that never end", func() {
				t, c := start(fewDescriptors), newClients()
				c.start(largeChunkClients, t.callers, 0, func() string { return t.requestTo(t.path) + chunked }, chunks(largeChunkBytes, 16_000))
				c.start(smallChunkClients, t.callers, 0, func() string { return t.requestTo(t.path) + chunked }, chunks(smallChunkBytes, 1))
				c.group.Wait()
				t.awaitOrdinary()
				t.expectBounded()
			})

			// Guards against a body being held before its size is checked.
			It("send bodies over the limit, or announce ones that do not come", func() {
				t, c := start(fewDescriptors), newClients()
				c.start(overLimitClients, t.callers, 0, func() string { return t.requestTo(t.path) + announced(oversizeBytes) }, plain(oversizeBytes))
				c.start(overLimitClients, t.callers, 0, func() string { return t.requestTo(t.path) + chunked }, chunks(oversizeBytes, 16_000))
				c.start(announcingClients, t.callers, 0, func() string { return t.requestTo(t.path) + announced(announcedBytes) }, plain(1_000))
				c.group.Wait()
				t.awaitOrdinary()
				t.expectBounded()
			})

			// Guards against responses held for callers that do not read.
			It("do not read large responses", func() {
				t, c := start(fewDescriptors), newClients()
				large := t.path[:len(t.path)-1] + "large"
				c.start(slowReaders, t.callers, 4096, func() string { return t.requestTo(large) + announced(0) }, nil)
				c.group.Wait()
				time.Sleep(2 * time.Second) // The responses arrive meanwhile; the bounds hold at any time.
				t.awaitOrdinary()
				t.expectBounded()
			})

			// Guards against connections that use up the descriptors, so that the process can't accept others.
			It("open many connections and send the beginning of a request", func() {
				t, c := start(fewDescriptors), newClients()
				c.start(idleClients, t.callers, 0, func() string { return "POST / HTTP/1.1\r\n" }, nil)
				for _, listener := range t.listeners {
					c.start(idleClients, listener, 0, func() string { return "POST / HTTP/1.1\r\n" }, nil)
				}
				c.group.Wait()
				t.awaitOrdinary()
				t.expectBounded()
			})

			// Guards against bodies sent to the listeners of peers and operators, which need none that large.
			It("send large bodies to the other listeners", func() {
				t, c := start(fewDescriptors), newClients()
				for listener, post := range t.posts {
					c.start(strayClients, t.listeners[listener], 0, func() string { return post + chunked }, chunks(strayBytes, 16_000))
					c.start(strayClients, t.listeners[listener], 0, func() string { return post + announced(oversizeBytes) }, plain(strayBytes))
				}
				c.group.Wait()
				t.awaitOrdinary()
				t.expectBounded()
			})

			// Guards against headers that are held up to a limit that suits a server with gigabytes of memory.
			It("send headers that never end", func() {
				t, c := start(manyDescriptors), newClients()
				field := []byte("X-Padding: " + string(bytes.Repeat([]byte("a"), 16_000-13)) + "\r\n")
				sendFields := func(send func([]byte) error) error {
					for sent := 0; sent < headerBytes; sent += len(field) {
						if err := send(field); err != nil {
							return err
						}
					}
					return nil
				}
				c.start(headerClients, t.callers, 0, func() string { return t.requestTo(t.path) }, sendFields)
				for listener, post := range t.posts {
					c.start(headerClients, t.listeners[listener], 0, func() string { return post }, sendFields)
				}
				c.group.Wait()
				t.awaitOrdinary()
				t.expectBounded()
			})
		})
	}
})
