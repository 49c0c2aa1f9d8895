package platformstandin

import (
	"context"
	"sync"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// watch reads the history from a version on.
type watch struct {
	server     *Server
	collection string
	reached    int64
	cut        <-chan struct{}
	closed     chan struct{}
	close      sync.Once
}

func (s *Server) newWatch(collection string, version int64) *watch {
	return &watch{server: s, collection: collection, reached: version, cut: s.faults.cutChannel(), closed: make(chan struct{})}
}

// Next implements platform.Watch.
func (w *watch) Next(ctx context.Context) (platform.Event, error) {
	c := call{op: opWatch, key: w.collection}
	for {
		if w.ended() {
			return platform.Event{}, c.fail(platform.WatchEnded, nil)
		}
		if silent := w.server.faults.silence(); silent != nil {
			if err := w.wait(ctx, silent); err != nil {
				return platform.Event{}, c.fail(platform.WatchEnded, err)
			}
			continue
		}
		event, reached, changed, ok := w.server.history.next(w.collection, w.reached)
		if !ok {
			return platform.Event{}, c.fail(platform.TooOld, nil)
		}
		w.reached = reached
		if event != nil {
			return *event, nil
		}
		if err := w.wait(ctx, changed); err != nil {
			return platform.Event{}, c.fail(platform.WatchEnded, err)
		}
	}
}

func (w *watch) wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.cut:
	case <-w.closed:
	case <-changed:
	}
	return nil
}

func (w *watch) ended() bool {
	select {
	case <-w.cut:
		return true
	case <-w.closed:
		return true
	default:
		return false
	}
}

// Close implements platform.Watch.
func (w *watch) Close() { w.close.Do(func() { close(w.closed) }) }
