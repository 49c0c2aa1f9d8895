package memory

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// inboundBuffer is the receive buffer, in bytes, of an accepted connection. It holds what arrives while
	// a request runs and nothing is read. The kernel's own choice grows with the body before, to megabytes.
	inboundBuffer = 16 << 10
	// outboundBuffer is that of a connection to an endpoint or peer, which holds what arrives while a caller
	// does not read.
	outboundBuffer = 32 << 10
	// bufferOverhead is the factor by which the kernel enlarges a buffer that is set (socket(7)).
	bufferOverhead = 2
	// InboundReceiveBytes is what the kernel may receive for an accepted connection before it is read.
	InboundReceiveBytes = bufferOverhead * inboundBuffer
	// OutboundReceiveBytes is that of a connection to an endpoint or peer.
	OutboundReceiveBytes = bufferOverhead * outboundBuffer
)

// waiting is how many connections of a class wait to be accepted at most. They hold bytes too, and belong to
// no account yet. Callers come in bursts after a restart.
var waiting = [classCount]int{Callers: 512, Peers: 128, Operators: 128}

// Listen opens a TCP listener for connections of a class. Their receive buffers are bounded before they are
// accepted, and few of them wait for that. It replaces config.Control.
func Listen(ctx context.Context, config net.ListenConfig, network, address string, class Class) (net.Listener, error) {
	config.Control = limitReceiveBuffer(inboundBuffer)
	listener, err := config.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(syscall.Conn)
	if !ok {
		return listener, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	var listenErr error
	// The queue of a socket that listens already is resized.
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), waiting[class]) })
	if err = errors.Join(err, listenErr); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return listener, nil
}

// LimitOutbound is a net.Dialer.Control that bounds the receive buffer of a connection.
func LimitOutbound(network, address string, raw syscall.RawConn) error {
	return limitReceiveBuffer(outboundBuffer)(network, address, raw)
}

func limitReceiveBuffer(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		})
		return errors.Join(err, optionErr)
	}
}
