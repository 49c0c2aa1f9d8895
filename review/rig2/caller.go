package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// caller sends requests as the platform's clients do.
type caller struct{ http *http.Client }

// maxCallerConns bounds the idle connections that callers keep to one gateway.
const maxCallerConns = 512

func newCaller() *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxCallerConns, DisableCompression: true}}}
}

// defaultWait is the time until a client comes again that wasn't told when.
const defaultWait = 500 * time.Millisecond

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request is one client attempt.
type request struct {
	id, path, body string
	deadline       time.Duration
	fields         map[string]string
}

// answer is what the client has received.
type answer struct {
	status   int
	complete bool
	signed   bool
	bytes    int
	// retryAfter is when the client may come again, or 0 if it wasn't told.
	retryAfter time.Duration
	err        error
}

// maxWaitShare is the part, one in so many, of its time for which a client waits as it is told.
const maxWaitShare = 3

// wait returns how long the client of a request that was not served waits until it comes again.
func (a answer) wait(deadline time.Duration) time.Duration {
	if a.retryAfter > 0 {
		return min(a.retryAfter, deadline/maxWaitShare)
	}
	return defaultWait
}

// send sends a request to a gateway and reads the whole answer.
func (c *caller) send(ctx context.Context, g *gateway, r request) answer {
	ctx, cancel := context.WithTimeout(ctx, r.deadline+time.Second)
	defer cancel()
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	sent.Host, sent.GetBody = host, nil
	sent.Header.Set(names.RequestID, r.id)
	sent.Header.Set(names.Deadline, fmt.Sprint(r.deadline.Milliseconds()))
	sent.Header.Set(names.APIKey, apiKey)
	for name, value := range r.fields {
		sent.Header.Set(name, value)
	}
	response, err := c.http.Do(sent)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if parseErr != nil {
		seconds = 0
	}
	return answer{
		retryAfter: time.Duration(seconds * float64(time.Second)),
		status:     response.StatusCode, complete: err == nil, signed: response.Header.Get(names.ResponseSignature) != "", bytes: int(n), err: err,
	}
}

// readAnswers reads n answers from a channel and returns their statuses.
func readAnswers(conn net.Conn, n int) (statuses []int, err error) {
	reader := bufio.NewReader(conn)
	for range n {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return statuses, err
		}
		statuses = append(statuses, response.StatusCode)
	}
	return statuses, nil
}
