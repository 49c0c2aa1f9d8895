package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyDialTimeout bounds the proxy's own connection to what is behind it.
const proxyDialTimeout = time.Second

// proxyBufferBytes is the size of one read of the proxy.
const proxyBufferBytes = 32 << 10

// proxy carries TCP connections, and can make the open ones silent.
type proxy struct {
	address, target string
	listener        net.Listener

	mu   sync.Mutex
	open map[*proxied]bool
}

// proxied is one connection through the proxy.
type proxied struct {
	near   net.Conn
	silent atomic.Bool
}

func startProxy(ip, target string) (*proxy, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, listener: listener, open: make(map[*proxied]bool)}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go p.carry(conn)
		}
	}()
	return p, nil
}

// stop refuses new connections and ends the open ones.
func (p *proxy) stop() {
	_ = p.listener.Close() // Nobody else closes it.
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.near.Close()
	}
}

// silence makes all open connections silent for good: nothing more passes in either direction,
// and neither end learns of it. It returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.silent.Store(true)
	}
	return len(p.open)
}

func (p *proxy) carry(near net.Conn) {
	defer func() { _ = near.Close() }()
	dialer := net.Dialer{Timeout: proxyDialTimeout}
	far, err := dialer.DialContext(context.Background(), "tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	c := &proxied{near: near}
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, c)
		p.mu.Unlock()
	}()
	go func() {
		c.copy(near, far)
		if !c.silent.Load() {
			_ = near.Close()
		}
	}()
	c.copy(far, near)
}

// copy passes bytes on until from ends; those that arrive after the silence began are lost.
func (c *proxied) copy(to, from net.Conn) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.silent.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
