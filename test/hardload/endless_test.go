//go:build hardload

package hardload_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// endlessTime is how long a platform in trouble sends each kind of bytes.
	endlessTime = 5 * time.Second
	// endlessBlock is how much it writes at once.
	endlessBlock = 256 << 10
	// unendingClients send a request each at once for every kind of bytes that an endpoint in trouble sends,
	// and read the answer for unendingTime.
	unendingClients, unendingTime = 60, 2 * time.Second
	// kindsEach is how many kinds of bytes one process gets.
	kindsEach = 4
)

// endlessResponse is a response that begins with prefix and goes on with unit without an end.
type endlessResponse struct{ name, prefix, unit string }

const okHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

var endlessResponses = []endlessResponse{
	{"the body of a 200", okHead + "\r\n", "x"},
	{"a body with a length", okHead + "Content-Length: 60000000\r\n\r\n", "x"},
	{"chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"},
	{"JSON items", okHead + "\r\n" + `{"resourceVersion":9,"items":[`, `{},`},
	{"JSON objects", okHead + "\r\n" + `{"resourceVersion":9,"items":[`, `{"collection":"endpoints","name":"a","resourceVersion":9,"data":"` + strings.Repeat("a", 1000) + `"},`},
	{"blank lines", okHead + "\r\n", "\n"},
	{"the body of a 500", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
	{"fields of the head", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
	{"one field", "HTTP/1.1 200 OK\r\nX-A: ", "x"},
	{"informational heads", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
}

// identified stands for the field that echoes the request's id.
const identified = "{id}"

// unendingResponses are what an endpoint in trouble sends.
var unendingResponses = []endlessResponse{
	{"bytes", "", "x"},
	{"lines", "", "x\r\n"},
	{"a name", "HTTP/1.1 200 OK\r\n", "x"},
	{"fields", "HTTP/1.1 200 OK\r\n" + identified, "X-A: a\r\n"},
	{"folds", "HTTP/1.1 200 OK\r\nX-A: a\r\n", " x\r\n"},
	{"informational heads", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{"a body", "HTTP/1.1 200 OK\r\n" + identified + "\r\n", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\n" + identified + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"},
	{"an event", "HTTP/1.1 200 OK\r\n" + identified + "Content-Type: text/event-stream\r\n\r\ndata: ", "x"},
	{"the body of a 503", "HTTP/1.1 503 X\r\n" + identified + "\r\n", "x"},
	{"a trailer", "HTTP/1.1 200 OK\r\n" + identified + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-A: a\r\n"},
}

// unendingSent counts the requests that were answered with each of them.
var unendingSent [64]atomic.Int64

// sendUnending takes the connection over and sends one of unendingResponses until it is closed.
func sendUnending(w http.ResponseWriter, r *http.Request, number string) {
	kind, err := strconv.Atoi(number)
	if err != nil || kind >= len(unendingResponses) {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	unendingSent[kind].Add(1)
	response := unendingResponses[kind]
	block := []byte(strings.Repeat(response.unit, endlessBlock/len(response.unit)))
	_, err = io.WriteString(conn, strings.Replace(response.prefix, identified, names.RequestID+": "+r.Header.Get(names.RequestID)+"\r\n", 1))
	for err == nil {
		_, err = conn.Write(block)
	}
}

// readFor sends a request of its own content and reads the answer for a time.
func (t target) readFor(path string, d time.Duration) {
	conn, err := net.DialTimeout("tcp4", t.callers, patience)
	if err != nil {
		return // Refused, which is allowed.
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(d))
	body := fmt.Sprint("unending-", requests.Add(1))
	if _, err := io.WriteString(conn, t.requestTo(path)+announced(len(body))+body); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

var _ = Describe("An endpoint that sends bytes without end", func() {
	for name, start := range programs {
		// Guards against bytes that are no response and are kept, or that keep others from being answered. A
		// process gets a few kinds, as serve leaves its only endpoint alone for longer after each.
		for first := 0; first < len(unendingResponses); first += kindsEach {
			kinds := unendingResponses[first:min(len(unendingResponses), first+kindsEach)]
			It(fmt.Sprintf("does not exceed the memory of %s, from %s on", name, kinds[0].name), func() {
				t := start(manyDescriptors)
				for i, response := range kinds {
					kind := first + i
					before := unendingSent[kind].Load()
					var group sync.WaitGroup
					for range unendingClients {
						group.Go(func() { t.readFor(fmt.Sprint(t.path[:len(t.path)-1], "unending/", kind), unendingTime) })
					}
					group.Wait()
					t.awaitOrdinary()
					By(fmt.Sprintf("%s: %d of %d requests", response.name, unendingSent[kind].Load()-before, unendingClients))
					t.expectBounded()
					Expect(unendingSent[kind].Load()).To(BeNumerically(">", before), response.name)
				}
			})
		}
	}
})

// front is before a platform. While it has an endless response, it sends that to every connection.
type front struct {
	mu       sync.Mutex
	response *endlessResponse
	conns    map[net.Conn]bool
	sent     int
}

// open starts the front before a platform and returns its address.
func (f *front) open(platform string) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	f.conns = map[net.Conn]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(conn, platform)
		}
	}()
	return listener.Addr().String()
}

func (f *front) serve(conn net.Conn, platform string) {
	f.mu.Lock()
	response := f.response
	f.conns[conn] = true
	f.mu.Unlock()
	defer func() {
		_ = conn.Close()
		f.mu.Lock()
		delete(f.conns, conn)
		f.mu.Unlock()
	}()
	if response != nil {
		f.sendEndless(conn, *response)
		return
	}
	back, err := net.Dial("tcp4", platform)
	if err != nil {
		return
	}
	defer func() { _ = back.Close() }()
	go func() {
		_, _ = io.Copy(back, conn)
		_ = back.Close()
	}()
	_, _ = io.Copy(conn, back)
}

func (f *front) sendEndless(conn net.Conn, response endlessResponse) {
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	block := []byte(strings.Repeat(response.unit, endlessBlock/len(response.unit)))
	total, err := io.WriteString(conn, response.prefix)
	for err == nil {
		var n int
		n, err = conn.Write(block)
		total += n
	}
	f.mu.Lock()
	f.sent += total
	f.mu.Unlock()
}

// turn closes all connections. New ones get the response, or are passed on if it is nil.
func (f *front) turn(response *endlessResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.response = response
	for conn := range f.conns {
		_ = conn.Close()
	}
}

var behind = map[string]func(descriptors int, front func(platform string) string) target{"gateway": startGatewayBehind, "serve": startServeBehind}

var _ = Describe("A platform that sends bytes without end", func() {
	for name, start := range behind {
		// Guards against responses that are kept whatever their length, and end the process with all its callers.
		It("does not exceed the memory of "+name, func() {
			f := &front{}
			t := start(manyDescriptors, f.open)
			for _, response := range endlessResponses {
				f.turn(&response)
				time.Sleep(endlessTime)
				By(response.name)
				t.expectBounded()
				t.awaitOrdinary()
			}
			f.turn(nil)
			Expect(f.sent).To(BeNumerically(">", 0))
			t.awaitOrdinary()
			t.expectBounded()
		})
	}
})
