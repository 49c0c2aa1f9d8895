package tunnel

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/primrosewell/primrosewell/internal/reach"
	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// Guards against a carrier whose answer without end is kept in memory.
func TestACarriersEndlessHeadIsCutOff(t *testing.T) {
	const endless, mostAccepted = 64 << 20, 16 << 20 // The sockets' buffers take some of it.
	for _, sample := range [][2]string{
		{"", "x"},
		{"", "\r\n"},
		{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"HTTP/1.1 200 ", "x"},
		{"HTTP/1.1 200 OK\r\n", "x"},
		{"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
		{"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		{"HTTP/1.1 200 OK\r\nX-A: a\r\n", " x\r\n"},
	} {
		listener, sent, err := rawhttp.Endless(sample[0], sample[1], endless)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		verdict, err := (&client{vm: "vm"}).connect(ctx, conn, "10.0.0.1:80", "id", "vm/1")
		cancel()
		_ = conn.Close()
		if total := <-sent; verdict != reach.Lost || total > mostAccepted {
			t.Errorf("%q: %d bytes were taken: %s, %v", sample, total, verdict, err)
		}
		_ = listener.Close()
	}
}
