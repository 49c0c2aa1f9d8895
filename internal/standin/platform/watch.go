package platformstandin

import (
	"context"
	"sync"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// watch delivers the changes of a collection after lastVersion, until it is closed or cut.
type watch struct {
	server      *Server
	collection  string
	lastVersion int64
	cut         <-chan struct{}
	closed      chan struct{}
	closeOnce   sync.Once
}

func (s *Server) newWatch(collection string, version int64) *watch {
	return &watch{server: s, collection: collection, lastVersion: version, cut: s.faults.cutChannel(), closed: make(chan struct{})}
}

// Next implements platform.Watch.
func (w *watch) Next(ctx context.Context) (platform.Event, error) {
	c := call{op: opWatch, key: w.collection}
	for {
		if w.ended() {
			return platform.Event{}, c.newError(platform.WatchEnded, nil)
		}
		if hangChanged := w.server.faults.hangChannel(); hangChanged != nil {
			if err := w.wait(ctx, hangChanged); err != nil {
				return platform.Event{}, c.newError(platform.WatchEnded, err)
			}
			continue
		}
		event, lastVersion, changed, ok := w.server.history.next(w.collection, w.lastVersion)
		if !ok {
			return platform.Event{}, c.newError(platform.TooOld, nil)
		}
		w.lastVersion = lastVersion
		if event != nil {
			return *event, nil
		}
		if err := w.wait(ctx, changed); err != nil {
			return platform.Event{}, c.newError(platform.WatchEnded, err)
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
func (w *watch) Close() { w.closeOnce.Do(func() { close(w.closed) }) }
