package httpio

import "net"

// ResetAtClose sets whether closing a TCP connection resets it. While a stream without chunks is in
// progress it must: an orderly close would complete the response, and the kernel closes the
// connections of a process that has ended. Other connections are left as they are.
func ResetAtClose(conn net.Conn, reset bool) {
	tcp, ok := conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	lingerSeconds := -1 // The default: a close is orderly, and sends what is left.
	if reset {
		lingerSeconds = 0
	}
	_ = tcp.SetLinger(lingerSeconds) // Fails only if the connection is closed already.
}
