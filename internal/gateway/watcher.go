package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

const (
	// firstPause and longestPause bound the pause between two tries to reach the
	// platform. The longest is short beside the time in which a change must be in force.
	firstPause   = 100 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// dutyPoll is the time between two looks at who follows the platform, and startPoll that
	// in the first startSpan, in which turns to follow are short.
	dutyPoll  = 100 * time.Millisecond
	startPoll = 20 * time.Millisecond
	startSpan = 3 * time.Second
)

// listTimeouts bound the calls of a try to list, in turn; a list may take many. A platform
// that was silent and is back answers the next try, so most are short; one that is slow
// needs a long one.
var listTimeouts = []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second}

// watcher follows collections of the platform.
type watcher struct {
	store  platform.Store
	source adapter.Source
	log    *logrus.Logger
	// onDuty reports whether this gateway follows the platform itself.
	onDuty func() bool
	// tookOver is called when this gateway begins to follow the platform.
	tookOver func()
	// started is when this gateway started.
	started time.Time

	mu sync.Mutex
	// renewals end the calls that wait for changes, by collection.
	renewals map[string]context.CancelFunc
}

// Renew makes every collection be listed again at once.
func (w *watcher) Renew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range w.renewals {
		end()
	}
}

// renewable returns a context for one round of a collection, which Renew ends.
func (w *watcher) renewable(ctx context.Context, collection string) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.renewals == nil {
		w.renewals = make(map[string]context.CancelFunc)
	}
	w.renewals[collection] = end
	return ctx, end
}

// collectionHandler takes the content of a collection and its changes.
type collectionHandler struct {
	listed  func(items []platform.Object)
	changed func(event platform.Event)
	// reached tells the version up to which changes were told.
	reached func(version int64)
	// away and back tell of a platform that can't be read, and of its return.
	away func()
	back func()
	// idle tells that others follow the platform from now on.
	idle func()
}

// follow lists a collection and then watches it, again and again until ctx ends.
func (w *watcher) follow(ctx context.Context, collection string, h collectionHandler) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longestPause
	lost := time.Time{}
	tries := 0
	for ctx.Err() == nil {
		if !w.onDuty() {
			w.standBy(ctx, collection, h)
			continue
		}
		listed := time.Time{}
		err := w.followOnce(ctx, collection, h, listTimeouts[tries%len(listTimeouts)], func() {
			tries = 0
			listed = time.Now()
			pause.Reset()
			if !lost.IsZero() {
				w.log.WithFields(logrus.Fields{"event": "platform_back", "collection": collection, "away": time.Since(lost)}).Info("the platform answers again")
				lost = time.Time{}
			}
			if h.back != nil {
				h.back()
			}
		})
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errOffDuty) {
			continue
		}
		if !listed.IsZero() {
			// Whether the platform is away shows when the collection is listed again. A
			// watch may break by itself, and a silence as short as its wait lapses no entry.
			w.log.WithFields(logrus.Fields{"event": "watch_ended", "collection": collection, "error": err, "lasted": time.Since(listed)}).Info("the watch ended; the collection is listed again")
			sleep(ctx, time.Until(listed.Add(firstPause)))
			continue
		}
		tries++
		if lost.IsZero() {
			lost = time.Now()
			w.log.WithFields(logrus.Fields{"event": "platform_lost", "collection": collection, "error": err}).Warn("the platform can't be read; what is known stays in use")
		}
		if h.away != nil {
			h.away()
		}
		sleep(ctx, pause.NextBackOff())
	}
}

// errOffDuty ends a round of a gateway that others follow the platform for.
var errOffDuty = errors.New("others follow the platform")

// standBy waits until this gateway has to follow the platform itself.
func (w *watcher) standBy(ctx context.Context, collection string, h collectionHandler) {
	w.log.WithFields(logrus.Fields{"event": "standby", "collection": collection}).Info("other gateways follow the platform; their news is used")
	if h.idle != nil {
		h.idle()
	}
	for ctx.Err() == nil && !w.onDuty() {
		sleep(ctx, lo.Ternary(time.Since(w.started) < startSpan, startPoll, dutyPoll))
	}
	if ctx.Err() != nil {
		return
	}
	w.log.WithFields(logrus.Fields{"event": "on_duty", "collection": collection}).Info("this gateway follows the platform")
	w.tookOver()
}

// followOnce lists and watches until a call fails. answered is called after the list.
func (w *watcher) followOnce(ctx context.Context, collection string, h collectionHandler, timeout time.Duration, answered func()) error {
	ctx, end := w.renewable(ctx, collection)
	defer end()
	list, err := w.store.List(platform.WithCallTimeout(ctx, timeout), collection, "")
	if err != nil {
		return err
	}
	answered()
	h.listed(list.Items)
	h.noteReached(list.Version)
	watch, err := w.store.Watch(ctx, collection, list.Version)
	if err != nil {
		return err
	}
	defer watch.Close()
	for {
		event, err := watch.Next(ctx)
		if err != nil {
			return err
		}
		if event.Type != platform.Bookmark {
			h.changed(event)
		}
		h.noteReached(event.Object.Version)
		if !w.onDuty() {
			return errOffDuty
		}
	}
}

func (h collectionHandler) noteReached(version int64) {
	if h.reached != nil {
		h.reached(version)
	}
}

// followEndpoints keeps the directory as the platform lists it.
func (w *watcher) followEndpoints(ctx context.Context, l *listing) {
	d, changed := l.directory, l.changed
	w.follow(ctx, w.source.EndpointCollection(), collectionHandler{
		away:    l.StoreAway,
		back:    l.StoreBack,
		reached: l.Reached,
		idle:    l.Idle,
		listed: func(items []platform.Object) {
			rows := make([]routetable.Endpoint, 0, len(items))
			for _, item := range items {
				if row, ok := w.decodeEndpoint(item); ok {
					rows = append(rows, row)
				}
			}
			d.Replace(time.Now(), rows)
			changed()
		},
		changed: func(event platform.Event) {
			row, ok := routetable.Endpoint{}, false
			if event.Type == platform.Put {
				row, ok = w.decodeEndpoint(event.Object)
			}
			if ok {
				d.Put(row)
			} else {
				d.Remove(time.Now(), event.Object.Name)
			}
			w.log.WithFields(logrus.Fields{
				"event": "endpoint", "endpoint": event.Object.Name, "change": event.Type, "draining": row.Draining, "service": row.Service, "version": event.Object.Version,
			}).Info("the list of endpoints changed")
			changed()
		},
	})
}

func (w *watcher) decodeEndpoint(o platform.Object) (routetable.Endpoint, bool) {
	row, err := w.source.DecodeEndpoint(o.Name, o.Data)
	if err != nil {
		w.log.WithFields(logrus.Fields{"event": "endpoint_refused", "endpoint": o.Name, "error": err}).Warn("an entry could not be read; it gets no work")
		return routetable.Endpoint{}, false
	}
	return row, true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
