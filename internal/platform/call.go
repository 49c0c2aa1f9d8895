package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"golang.org/x/time/rate"

	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

// call describes one request to the platform's API.
type call struct {
	op, key      string
	method, path string
	body         []byte
	isWrite      bool
	// isList is set if the response holds more than one object.
	isList bool
	// conflictReason is the reason for a status 409 whose body states none.
	conflictReason Reason
}

// newError returns an error of the call. It turns Uncertain into Unavailable for reads, which have
// no effect.
func (r call) newError(reason Reason, cause error) *Error {
	if !r.isWrite && reason == Uncertain {
		reason = Unavailable
	}
	return &Error{Reason: reason, Op: r.op, Key: r.key, Cause: cause}
}

// callTimeoutKey is the context key of the timeout set by WithCallTimeout.
type callTimeoutKey struct{}

// WithCallTimeout returns a context whose calls time out after d, in place of the client's
// Timeout. Each page of a list is a separate call, so the timeout does not limit a long list as
// long as the platform keeps responding.
func WithCallTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, callTimeoutKey{}, d)
}

// response is a successful response of the platform.
type response struct {
	body []byte
	era  int64
	// responses holds held bytes for the body and for what is decoded from it, until release is called.
	responses *memory.Quota
	held      int
}

// release is to be called when the body has been decoded.
func (r response) release() { r.responses.Release(r.held) }

// do makes a call and returns a successful response. A read that the client's move to another address
// has ended is made again there, and one that was lost with a kept connection once more on a new one,
// since that connection may have been dead before. A write is not: it may have taken effect.
func (c *Client) do(ctx context.Context, r call) (response, error) {
	for repeated := false; ; {
		route := c.route.Load()
		result, err := c.attempt(ctx, route, r)
		if err == nil || r.isWrite || ctx.Err() != nil {
			return result, err
		}
		if route.moved() {
			continue
		}
		if repeated || !lostWithKeptConn(err) {
			return result, err
		}
		repeated = true
	}
}

func lostWithKeptConn(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.lostWithKeptConn
}

// attempt makes one call within the timeout.
func (c *Client) attempt(ctx context.Context, route *route, r call) (response, error) {
	timeout := route.Timeout
	if override, ok := ctx.Value(callTimeoutKey{}).(time.Duration); ok {
		timeout = override
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.exchange(ctx, route, r)
}

func (c *Client) observe(r call, started time.Time, err error) {
	if c.options.Observe != nil {
		c.options.Observe(r.op, ReasonOf(err), time.Since(started))
	}
}

// exchange sends the request, reads the response and reports the call to Observe. It sets no timeout.
func (c *Client) exchange(ctx context.Context, route *route, r call) (result response, err error) {
	defer func(started time.Time) { c.observe(r, started, err) }(time.Now())
	if !r.isWrite {
		var cancel context.CancelFunc
		ctx, cancel = route.readContext(ctx)
		defer cancel()
	}
	var use connUse
	received, err := c.send(ctx, route, r, &use)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = received.Body.Close() }()
	if !succeeded(received) {
		return response{}, c.readFailure(ctx, route, r, received, &use)
	}
	result, err = c.readBody(r, received)
	if err != nil && !errors.Is(err, memory.ErrTooLarge) && !errors.Is(err, memory.ErrNoRoom) {
		return response{}, r.connError(ctx, route, &use, err)
	}
	if err != nil {
		return response{}, r.newError(Uncertain, err)
	}
	result.era, err = c.checkEra(r, received.Header)
	if err != nil {
		result.release()
		return response{}, err
	}
	return result, nil
}

// readBody reads the body of a successful response, with room to decode it.
func (c *Client) readBody(r call, received *http.Response) (response, error) {
	limit := c.options.Responses.ResponseLimit(maxListBytes)
	if !r.isList {
		limit = min(limit, maxItemBytes)
	}
	announced := -1
	if received.ContentLength > 0 { // 0 is also the zero value of a Response.
		announced = int(received.ContentLength)
	}
	body, err := memory.ReadBody(received.Body, c.options.Responses, announced, limit)
	result := response{body: body, responses: c.options.Responses, held: cap(body)}
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		err = oops.Wrapf(err, "a response of more than %d bytes", limit)
	case err == nil && !c.options.Responses.Reserve(len(body)):
		err = oops.Wrapf(memory.ErrNoRoom, "decoding a response of %d bytes", len(body))
	case err == nil:
		result.held += len(body)
	}
	if err != nil {
		result.release()
		return response{}, err
	}
	return result, nil
}

// readFailure reads the beginning of an error response and returns its error. The rest of an ordinary one
// is read, too, so that the connection can be used again.
func (c *Client) readFailure(ctx context.Context, route *route, r call, received *http.Response, use *connUse) error {
	body, err := io.ReadAll(io.LimitReader(received.Body, maxErrorBytes))
	if err == nil {
		_, err = io.CopyN(io.Discard, received.Body, maxItemBytes)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return r.connError(ctx, route, use, err)
	}
	if _, err := c.checkEra(r, received.Header); err != nil {
		return err
	}
	return r.checkResponse(received, body)
}

// connUse records which connection a call uses.
type connUse struct {
	// assigned is set once the request has a connection, and kept if another call used that before.
	assigned, kept atomic.Bool
}

// connError returns the error of a call that got no whole response. Before the request was assigned
// to a connection it is Unavailable; after that, the request may have been sent and it is Uncertain.
// The idle connections are closed, as what has broken this one or made it silent may concern them too.
func (r call) connError(ctx context.Context, route *route, use *connUse, cause error) *Error {
	if !use.assigned.Load() {
		return r.newError(Unavailable, cause)
	}
	e := r.newError(Uncertain, cause)
	if !errors.Is(ctx.Err(), context.Canceled) { // Else the caller has given up.
		e.lostWithKeptConn, e.Silent = use.kept.Load(), errors.Is(ctx.Err(), context.DeadlineExceeded)
		route.http.CloseIdleConnections()
	}
	return e
}

// send waits for the client's rate limit and sends the request.
func (c *Client) send(ctx context.Context, route *route, r call, use *connUse) (*http.Response, error) {
	if err := c.throttle(ctx, r); err != nil {
		return nil, err
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport gets another connection only if no byte was written to the previous one.
		GetConn: func(string) { use.assigned.Store(false) },
		GotConn: func(info httptrace.GotConnInfo) {
			use.assigned.Store(true)
			use.kept.Store(info.Reused)
		},
	})
	request, err := http.NewRequestWithContext(ctx, r.method, route.BaseURL+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, r.newError(Invalid, err)
	}
	if route.Token != "" {
		request.Header.Set("Authorization", "Bearer "+route.Token)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := route.http.Do(request)
	if err == nil {
		return response, nil
	}
	return nil, r.connError(ctx, route, use, err)
}

// throttle waits until the client's rate limit allows the call. If that takes longer than the
// context's deadline, it fails at once with RateLimited and the delay as RetryAfter.
func (c *Client) throttle(ctx context.Context, r call) error {
	limiter := c.reads
	if r.isWrite {
		limiter = c.writes
	}
	reservation := limiter.Reserve()
	wait := reservation.Delay()
	if deadline, ok := ctx.Deadline(); ok && wait > time.Until(deadline) {
		reservation.Cancel()
		e := r.newError(RateLimited, nil)
		e.RetryAfter = wait
		return e
	}
	return waitForReservation(ctx, r, reservation, wait)
}

// waitForReservation waits for the reservation's delay and cancels the reservation if ctx ends
// first.
func waitForReservation(ctx context.Context, r call, reservation *rate.Reservation, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		reservation.Cancel()
		return r.newError(Unavailable, ctx.Err())
	case <-timer.C:
		return nil
	}
}

// succeeded reports whether the response is a success.
func succeeded(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return true
	}
	return false
}

// checkResponse returns the error that a response reports which is no success.
func (r call) checkResponse(response *http.Response, body []byte) error {
	var status wire.Status
	if json.Unmarshal(body, &status) != nil {
		status = wire.Status{}
	}
	e := r.newError(r.reasonFor(response.StatusCode, Reason(status.Reason)), oops.Errorf("status %d %s", response.StatusCode, status.Message))
	e.RetryAfter = retryAfter(response.Header, status)
	return e
}

// reasonFor maps an HTTP status to a reason; bodyReason is the reason in the response's body. A
// server error proves that the call had no effect only if the body says so, because the response
// may come from an intermediary and not from the platform.
func (r call) reasonFor(status int, bodyReason Reason) Reason {
	switch status {
	case http.StatusNotFound:
		return NotFound
	case http.StatusConflict:
		if bodyReason == Exists || bodyReason == Conflict || r.conflictReason == "" {
			return bodyReason
		}
		return r.conflictReason
	case http.StatusGone:
		return TooOld
	case http.StatusTooManyRequests:
		return RateLimited
	case http.StatusUnauthorized, http.StatusForbidden:
		return Denied
	case http.StatusServiceUnavailable:
		if bodyReason == Unavailable {
			return Unavailable
		}
		return Uncertain
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout {
		return Invalid
	}
	return Uncertain
}

// retryAfter returns the delay that the response asks for, or 0. The body takes precedence over the
// header.
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
