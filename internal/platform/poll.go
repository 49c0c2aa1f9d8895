package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/oops"
)

const (
	// DefaultPollWait is how long the platform may hold a poll while there are no changes.
	DefaultPollWait = 2 * time.Second
	// pollMargin is the time by which a poll's response may exceed its wait before the connection
	// counts as broken.
	pollMargin = 700 * time.Millisecond
)

// pollWatch is a Watch by long polling. It ends when the client moves to another address. It must be
// used by one goroutine, except for Close.
type pollWatch struct {
	client *Client
	// address ends when the client moves to another one; see route.left.
	address    context.Context
	dialect    PollingDialect
	collection string
	version    int64
	// era is the platform's era as of the last poll.
	era     int64
	pending []Event
	ctx     context.Context
	cancel  context.CancelFunc
}

func (c *Client) newPollWatch(ctx context.Context, dialect PollingDialect, collection string, version int64) Watch {
	ctx, cancel := context.WithCancel(ctx)
	return &pollWatch{client: c, address: c.route.Load().left, dialect: dialect, collection: collection, version: version, ctx: ctx, cancel: cancel}
}

// Next implements Watch. After a poll without changes it returns a Bookmark, which advances the
// version and shows the caller that the platform responds.
func (w *pollWatch) Next(ctx context.Context) (Event, error) {
	if len(w.pending) == 0 {
		if err := w.poll(ctx); err != nil {
			return Event{}, err
		}
	}
	if len(w.pending) == 0 {
		return Event{Type: Bookmark, Era: w.era, Object: Object{Collection: w.collection, Version: w.version}}, nil
	}
	event := w.pending[0]
	w.pending = w.pending[1:]
	return event, nil
}

// Close implements Watch.
func (w *pollWatch) Close() { w.cancel() }

// poll makes one poll and appends its changes to the pending events. It keeps every
// deletion, because a deletion may carry the object's last version, which w.version has passed,
// and every change whose version can't be read. Such a change gets the version after that of
// the change before it, which its own is not below.
func (w *pollWatch) poll(ctx context.Context) error {
	r := call{op: "watch", key: w.collection, isList: true, method: http.MethodGet}
	route := w.client.route.Load()
	if route.left != w.address {
		return r.newError(WatchEnded, oops.Errorf("the client has moved to another address"))
	}
	wait := route.PollWait
	ctx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	defer context.AfterFunc(w.ctx, cancel)()
	r.path = w.dialect.PollPath(w.collection, w.version, wait)
	response, err := w.client.exchange(ctx, route, r)
	if err != nil {
		return err
	}
	defer response.release()
	events, version, err := w.dialect.DecodePoll(w.collection, response.body)
	if err != nil {
		return r.newError(WatchEnded, err)
	}
	w.era = response.era
	version = max(w.version, version)
	last := w.version
	for _, event := range events {
		if event.Type != Deleted && event.Object.Version > 0 && event.Object.Version <= w.version {
			continue
		}
		last = min(max(event.Object.Version, last+1), version)
		event.Era, event.Object.Version = response.era, last
		w.pending = append(w.pending, event)
	}
	w.version = version
	return nil
}
