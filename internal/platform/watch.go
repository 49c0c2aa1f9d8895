package platform

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

const (
	// lineBufferBytes is the initial size of the line buffer.
	lineBufferBytes = 4 << 10
)

// Watch implements Store. The watch ends when ctx ends, when the client moves to another address, when no line arrives for WatchIdleTimeout,
// and at the first line that does not decode. Changes at or below the last delivered version are
// skipped.
func (c *Client) Watch(ctx context.Context, collection string, version int64) (Watch, error) {
	if dialect, ok := c.options.Dialect.(PollingDialect); ok {
		return c.newPollWatch(ctx, dialect, collection, version), nil
	}
	query := url.Values{wire.WatchParam: {"true"}, wire.VersionParam: {strconv.FormatInt(version, 10)}}
	r := call{op: "watch", key: collection, method: http.MethodGet, path: collectionPath(collection, query)}
	started := time.Now()
	route := c.route.Load()
	ctx, cancel := route.readContext(ctx)
	body, era, err := c.openWatch(ctx, cancel, route, r)
	c.observe(r, started, err)
	if err != nil {
		cancel()
		return nil, err
	}
	w := &watch{
		call: r, collection: collection, era: era, lastVersion: version, idleTimeout: c.options.WatchIdleTimeout, endSilent: route.endSilent(cancel),
		body: body, ctx: ctx, cancel: cancel, results: make(chan watchResult),
	}
	go w.readLines()
	return w, nil
}

// openWatch sends the request and returns the body and the era of the response. The timeout
// applies only until the response header arrives.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelFunc, route *route, r call) (io.ReadCloser, int64, error) {
	timer := time.AfterFunc(route.Timeout, route.endSilent(cancel))
	defer timer.Stop()
	response, err := c.send(ctx, route, r, &connUse{})
	if err != nil {
		return nil, 0, err
	}
	era, err := c.checkEra(r, response.Header)
	if err == nil && response.StatusCode == http.StatusOK {
		return response.Body, era, nil
	}
	defer func() { _ = response.Body.Close() }()
	if err != nil {
		return nil, 0, err
	}
	if succeeded(response) {
		return nil, 0, r.newError(Uncertain, oops.Errorf("status %d", response.StatusCode))
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // The status says the most.
	return nil, 0, r.checkResponse(response, body)
}

type watchResult struct {
	event Event
	err   error
}

// watch reads lines on a separate goroutine, so that a call of Next can be cancelled without ending
// the watch.
type watch struct {
	call        call
	collection  string
	era         int64
	lastVersion int64
	idleTimeout time.Duration
	// endSilent ends the watch after idleTimeout.
	endSilent func()
	body      io.ReadCloser
	ctx       context.Context
	cancel    context.CancelFunc
	results   chan watchResult
}

// Next implements Watch. The watch stays open if ctx ends.
func (w *watch) Next(ctx context.Context) (Event, error) {
	select {
	case <-ctx.Done():
		return Event{}, w.call.newError(WatchEnded, ctx.Err())
	case result, ok := <-w.results:
		if !ok {
			return Event{}, w.call.newError(WatchEnded, w.ctx.Err())
		}
		return result.event, result.err
	}
}

// Close implements Watch.
func (w *watch) Close() { w.cancel() }

// readLines delivers the lines of the stream until the watch ends. The idle timer is stopped while
// an event waits for Next.
func (w *watch) readLines() {
	defer close(w.results)
	defer w.cancel()
	defer func() { _ = w.body.Close() }()
	idleTimer := time.AfterFunc(w.idleTimeout, w.endSilent)
	defer idleTimer.Stop()
	scanner := bufio.NewScanner(w.body)
	scanner.Buffer(make([]byte, 0, lineBufferBytes), maxItemBytes)
	for scanner.Scan() {
		idleTimer.Stop()
		event, err := decodeLine(w.call, w.collection, scanner.Bytes())
		if !w.deliver(event, err) {
			return
		}
		idleTimer.Reset(w.idleTimeout)
	}
	err := scanner.Err()
	if err == nil {
		err = oops.Errorf("the stream ended")
	}
	w.deliver(nil, w.call.newError(WatchEnded, err))
}

// deliver passes an event or an error to Next. It skips bookmarks and events that were delivered
// before, and returns false if the watch has ended.
func (w *watch) deliver(event *Event, err error) bool {
	if err != nil {
		w.sendResult(watchResult{err: err})
		return false
	}
	if event == nil || event.Object.Version <= w.lastVersion {
		return true
	}
	w.lastVersion, event.Era = event.Object.Version, w.era
	return w.sendResult(watchResult{event: *event})
}

// sendResult returns false if the watch ended before Next received the result.
func (w *watch) sendResult(result watchResult) bool {
	select {
	case <-w.ctx.Done():
		return false
	case w.results <- result:
		return true
	}
}
