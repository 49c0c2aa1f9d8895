package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	err      error
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
	return answer{
		status: response.StatusCode, complete: err == nil, signed: response.Header.Get(names.ResponseSignature) != "", bytes: int(n), err: err,
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
