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
	// maxLineBytes bounds a line of a watch: an object of the largest size, in base64.
	maxLineBytes = MaxObjectBytes*4/3 + 64<<10
	// lineBufferBytes is the first size of the line buffer.
	lineBufferBytes = 4 << 10
)

// Watch implements Store. The watch ends when ctx ends, when the platform is silent
// for longer than WatchIdle, and at the first line that does not decode. Changes at
// or below a version that was delivered already are left out.
func (c *Client) Watch(ctx context.Context, collection string, version int64) (Watch, error) {
	if dialect, ok := c.options.Dialect.(PollingDialect); ok {
		return c.openPoll(ctx, dialect, collection, version), nil
	}
	query := url.Values{wire.WatchParam: {"true"}, wire.VersionParam: {strconv.FormatInt(version, 10)}}
	r := call{op: "watch", key: collection, method: http.MethodGet, path: collectionPath(collection, query)}
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	body, err := c.openWatch(ctx, cancel, r)
	c.observe(r, started, err)
	if err != nil {
		cancel()
		return nil, err
	}
	w := &watch{
		call: r, collection: collection, reached: version, idle: c.options.WatchIdle,
		body: body, ctx: ctx, cancel: cancel, results: make(chan watchResult),
	}
	go w.read()
	return w, nil
}

// openWatch sends the request; only the time to the header is bounded by the timeout.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelFunc, r call) (io.ReadCloser, error) {
	timer := time.AfterFunc(c.options.Timeout, cancel)
	defer timer.Stop()
	response, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	return nil, r.check(response, body)
}

type watchResult struct {
	event Event
	err   error
}

// watch reads lines on a goroutine of its own, so that Next can be left without ending the watch.
type watch struct {
	call       call
	collection string
	reached    int64
	idle       time.Duration
	body       io.ReadCloser
	ctx        context.Context
	cancel     context.CancelFunc
	results    chan watchResult
}

// Next implements Watch. If ctx ends, the watch stays open.
func (w *watch) Next(ctx context.Context) (Event, error) {
	select {
	case <-ctx.Done():
		return Event{}, w.call.fail(WatchEnded, ctx.Err())
	case result, ok := <-w.results:
		if !ok {
			return Event{}, w.call.fail(WatchEnded, w.ctx.Err())
		}
		return result.event, result.err
	}
}

// Close implements Watch.
func (w *watch) Close() { w.cancel() }

func (w *watch) read() {
	defer close(w.results)
	defer w.cancel()
	defer func() { _ = w.body.Close() }()
	silence := time.AfterFunc(w.idle, w.cancel)
	defer silence.Stop()
	scanner := bufio.NewScanner(w.body)
	scanner.Buffer(make([]byte, 0, lineBufferBytes), maxLineBytes)
	for scanner.Scan() {
		silence.Stop()
		event, err := decodeLine(w.call, w.collection, scanner.Bytes())
		if !w.deliver(event, err) {
			return
		}
		silence.Reset(w.idle)
	}
	err := scanner.Err()
	if err == nil {
		err = oops.Errorf("the stream ended")
	}
	w.deliver(nil, w.call.fail(WatchEnded, err))
}

// deliver hands a line to Next; it returns false when the watch has ended.
func (w *watch) deliver(event *Event, err error) bool {
	if err != nil {
		w.hand(watchResult{err: err})
		return false
	}
	if event == nil || event.Object.Version <= w.reached {
		return true
	}
	w.reached = event.Object.Version
	return w.hand(watchResult{event: *event})
}

func (w *watch) hand(result watchResult) bool {
	select {
	case <-w.ctx.Done():
		return false
	case w.results <- result:
		return true
	}
}
