package testport

import (
	"net"
	"net/netip"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"
)

// Reservation is a bound socket that doesn't listen: connections to its port are refused, and no
// other process gets the port.
type Reservation struct{ fd int }

// Reserve reserves an IPv4 address and port on which nothing listens.
func Reserve(address string) (*Reservation, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, oops.Wrapf(err, "address")
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, oops.Wrapf(err, "socket")
	}
	r := &Reservation{fd: fd}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil { // A listener may be opened beside it.
		r.Release()
		return nil, oops.Wrapf(err, "option of a socket")
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}); err != nil {
		r.Release()
		return nil, oops.Wrapf(err, "bind")
	}
	return r, nil
}

// Release frees the port.
func (r *Reservation) Release() { _ = unix.Close(r.fd) }

// ListenReserved opens a listener on a free port of the loopback address and reserves the port: after the
// listener has closed, connections are refused, and no other process gets the port for a moment.
func ListenReserved() (net.Listener, *Reservation, error) {
	r, err := Reserve("127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	name, err := unix.Getsockname(r.fd)
	if err != nil {
		r.Release()
		return nil, nil, oops.Wrapf(err, "address of a socket")
	}
	bound := name.(*unix.SockaddrInet4)
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: bound.Addr[:], Port: bound.Port})
	if err != nil {
		r.Release()
		return nil, nil, oops.Wrapf(err, "listener")
	}
	return l, r, nil
}

// CloseAndReserve closes a listener and reserves its port, so that connections to it are refused.
func CloseAndReserve(l net.Listener) (*Reservation, error) {
	if err := l.Close(); err != nil {
		return nil, oops.Wrapf(err, "close")
	}
	return Reserve(l.Addr().String())
}
