package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"golang.org/x/time/rate"

	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

// call is one call on the platform.
type call struct {
	op, key      string
	method, path string
	body         []byte
	write        bool
	// conflict is what a 409 without a reason means.
	conflict Reason
}

// fail returns the error of the call. A read has no effect, so it is never uncertain.
func (r call) fail(reason Reason, cause error) *Error {
	if !r.write && reason == Uncertain {
		reason = Unavailable
	}
	return &Error{Reason: reason, Op: r.op, Key: r.key, Cause: cause}
}

type callTimeoutKey struct{}

// WithCallTimeout bounds each call made with the returned context by d, in place of the
// client's own timeout. Each page of a list is a call of its own: a long list takes as
// long as it needs while the platform goes on answering.
func WithCallTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, callTimeoutKey{}, d)
}

// do makes one call within the timeout and returns the body of a success.
func (c *Client) do(ctx context.Context, r call) ([]byte, error) {
	timeout := c.options.Timeout
	if own, ok := ctx.Value(callTimeoutKey{}).(time.Duration); ok {
		timeout = own
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	body, err := c.exchange(ctx, r)
	c.observe(r, started, err)
	return body, err
}

func (c *Client) observe(r call, started time.Time, err error) {
	if c.options.Observe != nil {
		c.options.Observe(r.op, ReasonOf(err), time.Since(started))
	}
}

func (c *Client) exchange(ctx context.Context, r call) ([]byte, error) {
	response, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, r.fail(Uncertain, err)
	}
	if len(body) > maxReplyBytes {
		return nil, r.fail(Uncertain, oops.Errorf("reply exceeds %d bytes", maxReplyBytes))
	}
	return body, r.check(response, body)
}

// send waits for the rate limit and sends the request. Its error is Unavailable as
// long as no connection was handed the request, and Uncertain after.
func (c *Client) send(ctx context.Context, r call) (*http.Response, error) {
	if err := c.throttle(ctx, r); err != nil {
		return nil, err
	}
	var handed atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport asks for another connection only after one that took no byte.
		GetConn: func(string) { handed.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { handed.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, r.method, c.options.BaseURL+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, r.fail(Invalid, err)
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err == nil {
		return response, nil
	}
	if handed.Load() {
		return nil, r.fail(Uncertain, err)
	}
	return nil, r.fail(Unavailable, err)
}

// throttle waits for the client's own rate limit.
func (c *Client) throttle(ctx context.Context, r call) error {
	limiter := c.reads
	if r.write {
		limiter = c.writes
	}
	reservation := limiter.Reserve()
	wait := reservation.Delay()
	if deadline, ok := ctx.Deadline(); ok && wait > time.Until(deadline) {
		reservation.Cancel()
		e := r.fail(RateLimited, nil)
		e.RetryAfter = wait
		return e
	}
	return sleep(ctx, r, reservation, wait)
}

func sleep(ctx context.Context, r call, reservation *rate.Reservation, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		reservation.Cancel()
		return r.fail(Unavailable, ctx.Err())
	case <-timer.C:
		return nil
	}
}

// check returns nil for a success and otherwise the error that the reply states.
func (r call) check(response *http.Response, body []byte) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	}
	var status wire.Status
	if json.Unmarshal(body, &status) != nil {
		status = wire.Status{}
	}
	e := r.fail(r.reason(response.StatusCode, Reason(status.Reason)), oops.Errorf("status %d %s", response.StatusCode, status.Message))
	e.RetryAfter = retryAfter(response.Header, status)
	return e
}

// reason maps a status to a reason. A server error is certain to have had no effect
// only if its body says so: an intermediary may have answered for the platform.
func (r call) reason(status int, stated Reason) Reason {
	switch status {
	case http.StatusNotFound:
		return NotFound
	case http.StatusConflict:
		if stated == Exists || stated == Conflict || r.conflict == "" {
			return stated
		}
		return r.conflict
	case http.StatusGone:
		return TooOld
	case http.StatusTooManyRequests:
		return RateLimited
	case http.StatusUnauthorized, http.StatusForbidden:
		return Denied
	case http.StatusServiceUnavailable:
		if stated == Unavailable {
			return Unavailable
		}
		return Uncertain
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout {
		return Invalid
	}
	return Uncertain
}

func retryAfter(header http.Header, status wire.Status) time.Duration {
	if status.RetryAfterMS > 0 {
		return time.Duration(status.RetryAfterMS) * time.Millisecond
	}
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
