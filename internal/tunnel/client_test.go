package tunnel

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/primrosewell/primrosewell/internal/reach"
)

// answeredBy returns the verdict of a carrier that reads the request, sends these bytes and closes.
func answeredBy(t *testing.T, answer string, reset bool) reach.Verdict {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte(answer))
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	verdict, _ := (&client{vm: "vm"}).connect(ctx, conn, "10.0.0.1:80", "id", "vm/1")
	return verdict
}

// Guards against MIXED: a head that stops within the verdict would be taken for a connection to the
// endpoint, whose response then begins with the rest of it.
func TestACarriersAnswerWhoseHeadStopsIsNoConnection(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n" + verdictField + ": " + string(reach.Connected) + "\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + verdictField + ": " + string(reach.Connected) + "\r\n\r\n",
	} {
		for cut := range answer {
			for _, reset := range []bool{false, true} {
				if verdict := answeredBy(t, answer[:cut], reset); verdict != reach.Lost {
					t.Fatalf("%q is %s", answer[:cut], verdict)
				}
			}
		}
	}
	whole := "HTTP/1.1 200 OK\r\n" + verdictField + ": " + string(reach.Connected) + "\r\n\r\n"
	if verdict := answeredBy(t, whole, false); verdict != reach.Connected {
		t.Fatalf("a whole answer is %s", verdict)
	}
	for _, answer := range []string{whole + "HTTP/1.1 200 OK\r\n\r\n", strings.Replace(whole, "200 OK", "503 X", 1), "HTTP/1.1 200 OK\r\n\r\n"} {
		if verdict := answeredBy(t, answer, false); verdict != reach.Lost {
			t.Fatalf("%q is %s", answer, verdict)
		}
	}
}
