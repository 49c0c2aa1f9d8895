package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/primrosewell/primrosewell/internal/headers"
)

const (
	// host is the host of all routes of the manifest.
	host = "review.example"
	// channelTimeout is how long a client allows for a new channel.
	channelTimeout = time.Second
	// answerMargin is how much longer than the time limit a client reads, to tell a late answer
	// from none.
	answerMargin = time.Second
)

var requestCount atomic.Int64

// channel is a client's channel to a gateway.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	names  headers.Names
	record *record
}

// openChannel opens a channel to the gateway with this number.
func (f *fleet) openChannel(number int) (*channel, error) {
	dialer := net.Dialer{Timeout: channelTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp4", f.front(number))
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn), names: f.adapter.Headers, record: f.record}, nil
}

// sendOnce sends one request on a new channel to the gateway with this number.
func (f *fleet) sendOnce(number int, q request) result {
	c, err := f.openChannel(number)
	if err != nil {
		return result{err: err}
	}
	defer c.close()
	return c.exchange(q)
}

func (c *channel) close() { _ = c.conn.Close() }

// request is one request of a client, which is one attempt.
type request struct {
	method, path, key string
	// limit is the client's time limit.
	limit time.Duration
	// padding is the size in bytes of a field of its own that makes the header longer.
	padding int
}

// result is what the client received.
type result struct {
	id     string
	sentAt time.Time
	status int
	body   string
	// signed is set if the answer bears a worker's proof.
	signed bool
	// retryAfter is the delay that a refusal states, or zero.
	retryAfter time.Duration
	err        error
}

// ok reports whether the client got a whole success of a worker.
func (r result) ok() bool { return r.err == nil && r.status == http.StatusOK && r.signed }

func (r result) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return strconv.Itoa(r.status)
}

// exchange sends a request on the channel and reads its answer.
func (c *channel) exchange(q request) result {
	r := result{id: fmt.Sprintf("r%06d", requestCount.Add(1)), sentAt: time.Now()}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, host, c.names.RequestID, r.id, c.names.Deadline, q.limit.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&head, "%s: %s\r\n", c.names.APIKey, q.key)
	}
	if q.padding > 0 {
		fmt.Fprintf(&head, "Trace-Context: %s\r\n", strings.Repeat("x", q.padding))
	}
	head.WriteString("\r\n")
	_ = c.conn.SetDeadline(time.Now().Add(q.limit + answerMargin))
	c.record.add("sent", "id", r.id, "method", q.method, "path", q.path, "to", c.conn.RemoteAddr())
	_, r.err = io.WriteString(c.conn, head.String())
	if r.err == nil {
		c.read(&r, q.method)
	}
	c.record.add("answered", "id", r.id, "result", r, "signed", r.signed, "after", time.Since(r.sentAt).Round(time.Millisecond))
	return r
}

func (c *channel) read(r *result, method string) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.status, r.body, r.err = response.StatusCode, string(body), err
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	r.signed = response.Header.Get(c.names.ResponseSignature) != ""
}
