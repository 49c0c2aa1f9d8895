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
	"github.com/primrosewell/primrosewell/internal/outage"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay between two attempts to reach the
	// platform. The longest is short compared with the time within which a change must be in
	// force.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// roleCheckInterval is the interval at which a gateway on standby checks whether it must
	// watch the platform. During startupPeriod, in which the staggered takeovers follow each
	// other quickly, it is startupRoleCheckInterval.
	roleCheckInterval        = 100 * time.Millisecond
	startupRoleCheckInterval = 20 * time.Millisecond
	startupPeriod            = 3 * time.Second
)

// watcher keeps local state up to date with collections of the platform.
type watcher struct {
	store  platform.Store
	source adapter.Source
	log    *logrus.Logger
	// refusals bounds the lines on entries that can't be used.
	refusals telemetry.LineLimit
	// shouldWatch reports whether this gateway must watch the platform itself.
	shouldWatch func() bool
	// onTakeover is called when this gateway starts to watch the platform.
	onTakeover func()
	// started is the time at which this gateway started.
	started time.Time

	mu sync.Mutex
	// rounds holds the current round of each collection.
	rounds map[string]*round
}

// round is one round of listing a collection and watching it.
type round struct {
	cancel context.CancelFunc
	// era is the platform's era of the list, or 0 before the list.
	era int64
}

// Relist cancels the current rounds, so that every collection is listed again.
func (w *watcher) Relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.rounds {
		r.cancel()
	}
}

// RelistBefore cancels the rounds whose list is of an era before the given one, so that their
// collections are listed again: what such a list holds may be lost, and its watch may wait
// for a version that is far ahead of the platform's.
func (w *watcher) RelistBefore(era int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.rounds {
		if r.era > 0 && r.era < era {
			r.cancel()
		}
	}
}

// noteEra records the era of the list of a collection's current round.
func (w *watcher) noteEra(collection string, era int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rounds[collection].era = era
}

// roundContext returns a context for one round of listing and watching a collection. Relist
// cancels it.
func (w *watcher) roundContext(ctx context.Context, collection string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rounds == nil {
		w.rounds = make(map[string]*round)
	}
	w.rounds[collection] = &round{cancel: cancel}
	return ctx, cancel
}

// collectionHandler receives the content of a collection and its changes. The callbacks
// below onEvent are optional.
type collectionHandler struct {
	onList  func(list platform.List)
	onEvent func(event platform.Event)
	// onVersion receives the era, and the version in it up to which all changes have been
	// delivered.
	onVersion func(era, version int64)
	// onUnavailable is called when the platform can't be read, and onAvailable when a list
	// succeeds.
	onUnavailable func()
	onAvailable   func()
	// onStandby is called when this gateway goes on standby, as others watch the platform.
	onStandby func()
}

// reading is what a watcher knows of how the reads of one collection went.
type reading struct {
	*watcher
	collection string
	handler    collectionHandler
	judge      outage.Judge
	retryDelay *backoff.ExponentialBackOff
	// unreachableSince is the begin of the current outage, or zero.
	unreachableSince time.Time
	// listedAt is the time of the list of the current round, or zero before it.
	listedAt time.Time
}

// listed records that a list succeeded.
func (r *reading) listed() {
	r.listedAt = time.Now()
	r.judge.Answered(r.listedAt)
	r.retryDelay.Reset()
	if !r.unreachableSince.IsZero() {
		r.log.WithFields(logrus.Fields{"event": "platform_back", "collection": r.collection, "away": time.Since(r.unreachableSince)}).Info("the platform is available again")
		r.unreachableSince = time.Time{}
	}
	if r.handler.onAvailable != nil {
		r.handler.onAvailable()
	}
}

// listFailed records that a list failed, and returns the delay before the next one. Only a failed list
// marks the platform as unavailable, as a watch may break while it is available.
func (r *reading) listFailed(err error, timeout time.Duration) time.Duration {
	silent := platform.IsSilent(err)
	if silent {
		r.retryDelay.Reset() // The list has waited already.
	}
	if !r.judge.ListFailed(time.Now(), silent) {
		r.log.WithFields(logrus.Fields{"event": "list_silent", "collection": r.collection, "timeout": timeout, "error": err}).Info("a list got no response in time and is made again; that is no outage yet")
		return r.retryDelay.NextBackOff()
	}
	if r.unreachableSince.IsZero() {
		r.unreachableSince = time.Now()
		r.log.WithFields(logrus.Fields{"event": "platform_lost", "collection": r.collection, "silent": silent, "error": err}).Warn("the platform can't be read; cached state stays in use")
	}
	if r.handler.onUnavailable != nil {
		r.handler.onUnavailable()
	}
	return r.retryDelay.NextBackOff()
}

// watchCollection lists a collection and then watches it, repeatedly until ctx ends, while
// this gateway has the watcher role.
func (w *watcher) watchCollection(ctx context.Context, collection string, h collectionHandler) {
	r := &reading{watcher: w, collection: collection, handler: h, retryDelay: backoff.NewExponentialBackOff()}
	r.retryDelay.InitialInterval, r.retryDelay.MaxInterval = minRetryDelay, maxRetryDelay
	for ctx.Err() == nil {
		if !w.shouldWatch() {
			w.standBy(ctx, collection, h)
			continue
		}
		r.listedAt = time.Time{}
		timeout := r.judge.ListTimeout()
		err := r.listAndWatch(ctx, timeout)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errNotWatcher), errors.Is(err, errRelist):
		case !r.listedAt.IsZero():
			w.log.WithFields(logrus.Fields{"event": "watch_ended", "collection": collection, "error": err, "lasted": time.Since(r.listedAt)}).Info("the watch ended; the collection is listed again")
			sleep(ctx, time.Until(r.listedAt.Add(minRetryDelay)))
		default:
			sleep(ctx, r.listFailed(err, timeout))
		}
	}
}

// errNotWatcher ends a round when this gateway no longer has the watcher role.
var errNotWatcher = errors.New("other gateways watch the platform")

// errRelist ends a round whose list was cancelled by Relist, which says nothing about the platform.
var errRelist = errors.New("the collection is listed again")

// errEraEnded ends a round when the platform has come back from an older copy of its data.
var errEraEnded = errors.New("the platform has come back from an older copy of its data")

// standBy waits until this gateway must watch the platform itself.
func (w *watcher) standBy(ctx context.Context, collection string, h collectionHandler) {
	w.log.WithFields(logrus.Fields{"event": "standby", "collection": collection}).Info("other gateways watch the platform; their deltas are used")
	if h.onStandby != nil {
		h.onStandby()
	}
	for ctx.Err() == nil && !w.shouldWatch() {
		sleep(ctx, lo.Ternary(time.Since(w.started) < startupPeriod, startupRoleCheckInterval, roleCheckInterval))
	}
	if ctx.Err() != nil {
		return
	}
	w.log.WithFields(logrus.Fields{"event": "on_duty", "collection": collection}).Info("this gateway watches the platform")
	w.onTakeover()
}

// listAndWatch lists a collection and watches it until a call fails or this gateway loses
// the watcher role.
func (r *reading) listAndWatch(ctx context.Context, timeout time.Duration) error {
	h := r.handler
	ctx, cancel := r.roundContext(ctx, r.collection)
	defer cancel()
	list, err := r.store.List(platform.WithCallTimeout(ctx, timeout), r.collection, "")
	if err != nil && ctx.Err() != nil {
		return errRelist
	}
	if err != nil {
		return err
	}
	r.noteEra(r.collection, list.Era)
	r.listed()
	h.onList(list)
	h.reportVersion(list.Era, list.Version)
	watch, err := r.store.Watch(ctx, r.collection, list.Version)
	if err != nil {
		return err
	}
	defer watch.Close()
	for {
		event, err := watch.Next(ctx)
		if err != nil {
			return err
		}
		r.judge.Answered(time.Now())
		if !platform.SameEra(event.Era, list.Era) {
			return errEraEnded
		}
		if event.Type != platform.Bookmark {
			h.onEvent(event)
		}
		h.reportVersion(event.Era, event.Object.Version)
		if !r.shouldWatch() {
			return errNotWatcher
		}
	}
}

func (h collectionHandler) reportVersion(era, version int64) {
	if h.onVersion != nil {
		h.onVersion(era, version)
	}
}

// watchEndpoints keeps the endpoint list up to date with the platform.
func (w *watcher) watchEndpoints(ctx context.Context, l *endpointList) {
	d, onChange := l.directory, l.onChange
	w.watchCollection(ctx, w.source.EndpointCollection(), collectionHandler{
		onUnavailable: l.PlatformUnavailable,
		onAvailable:   l.PlatformAvailable,
		onVersion:     l.SetPlatformVersion,
		onStandby:     l.Standby,
		onList: func(list platform.List) {
			endpoints := make([]routetable.Endpoint, 0, len(list.Items))
			for _, item := range list.Items {
				if endpoint, ok := w.decodeEndpoint(item); ok {
					endpoints = append(endpoints, endpoint)
				}
			}
			if l.BeginEra(list.Era) {
				d.ReplaceFromCopy(time.Now(), endpoints)
			} else {
				d.Replace(time.Now(), endpoints)
			}
			onChange()
		},
		onEvent: func(event platform.Event) {
			endpoint, ok := routetable.Endpoint{}, false
			if event.Type == platform.Put {
				endpoint, ok = w.decodeEndpoint(event.Object)
			}
			if ok {
				d.Put(endpoint)
			} else if !d.Remove(time.Now(), event.Object.Name) {
				return // It was not known, as an entry of another writer that is rewritten.
			}
			w.log.WithFields(logrus.Fields{
				"event": "endpoint", "endpoint": event.Object.Name, "change": event.Type, "draining": endpoint.Draining, "service": endpoint.Service, "version": event.Object.Version,
			}).Info("endpoint list changed")
			onChange()
		},
	})
}

func (w *watcher) decodeEndpoint(o platform.Object) (routetable.Endpoint, bool) {
	endpoint, err := w.source.DecodeEndpoint(o.Name, o.Data)
	if err != nil {
		if withheld, allowed := w.refusals.Allow(time.Now(), o.Name); allowed {
			w.log.WithFields(logrus.Fields{
				"event": "endpoint_refused", "endpoint": telemetry.Shorten(o.Name), "version": o.Version, "withheld": withheld, "error": telemetry.Shorten(err.Error()),
			}).Warn("an endpoint entry can't be used; it gets no requests")
		}
		return routetable.Endpoint{}, false
	}
	return endpoint, true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
