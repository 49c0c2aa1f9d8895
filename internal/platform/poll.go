package platform

import (
	"context"
	"net/http"
	"time"
)

const (
	// DefaultPollWait is how long a polling watch lets the platform wait for changes.
	DefaultPollWait = 2 * time.Second
	// pollMargin is how much longer than the wait the reply may take before the
	// connection counts as dead.
	pollMargin = 700 * time.Millisecond
)

// pollWatch is a Watch made of reads that wait. It is used by one goroutine.
type pollWatch struct {
	client     *Client
	dialect    PollingDialect
	collection string
	version    int64
	pending    []Event
	ctx        context.Context
	cancel     context.CancelFunc
}

func (c *Client) openPoll(ctx context.Context, dialect PollingDialect, collection string, version int64) Watch {
	ctx, cancel := context.WithCancel(ctx)
	return &pollWatch{client: c, dialect: dialect, collection: collection, version: version, ctx: ctx, cancel: cancel}
}

// Next implements Watch. An event without an object only moves the version on: it
// shows the holder that the platform answers.
func (w *pollWatch) Next(ctx context.Context) (Event, error) {
	if len(w.pending) == 0 {
		if err := w.poll(ctx); err != nil {
			return Event{}, err
		}
	}
	if len(w.pending) == 0 {
		return Event{Type: Bookmark, Object: Object{Collection: w.collection, Version: w.version}}, nil
	}
	event := w.pending[0]
	w.pending = w.pending[1:]
	return event, nil
}

// Close implements Watch.
func (w *pollWatch) Close() { w.cancel() }

func (w *pollWatch) poll(ctx context.Context) error {
	wait := w.client.options.PollWait
	ctx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	defer context.AfterFunc(w.ctx, cancel)()
	r := call{op: "watch", key: w.collection, method: http.MethodGet, path: w.dialect.PollPath(w.collection, w.version, wait)}
	started := time.Now()
	body, err := w.client.exchange(ctx, r)
	w.client.observe(r, started, err)
	if err != nil {
		return err
	}
	events, version, err := w.dialect.DecodePoll(w.collection, body)
	if err != nil {
		return r.fail(WatchEnded, err)
	}
	for _, event := range events {
		if event.Object.Version > w.version || event.Type == Deleted {
			w.pending = append(w.pending, event)
		}
	}
	w.version = max(w.version, version)
	return nil
}
