package gateway

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// versionReadTimeout bounds one read of the versions of services, and the wait for one that is due.
	versionReadTimeout = 100 * time.Millisecond
	// versionReadSpacing is the time between two reads of a gateway for each gateway of the fleet, so
	// that all gateways together make a bounded number of calls a second.
	versionReadSpacing = 2 * time.Millisecond
)

// versionReader reads the versions of services from the platform for callers that must know the
// versions as of their call. One read serves all that called before it. It is safe for concurrent
// use, and implements resume.Reader.
type versionReader struct {
	store  platform.Store
	source adapter.Source
	// fleetSize returns the number of gateways, this one included.
	fleetSize func() int
	log       *logrus.Logger
	// failures bounds the lines on reads that failed.
	failures telemetry.LineLimit

	mu sync.Mutex
	// waiting are the callers that the next read serves.
	waiting []chan versionsRead
	reading bool
}

// versionsRead is the result of a read: the versions by service, and the services of which what is
// stored can't be read.
type versionsRead struct {
	byService  map[string][]string
	unreadable map[string]error
	err        error
}

// ReadVersions implements resume.Reader. It waits for the read that is due next, at most its spacing
// and versionReadTimeout.
func (r *versionReader) ReadVersions(ctx context.Context, service string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, r.spacing()+versionReadTimeout)
	defer cancel()
	result := make(chan versionsRead, 1)
	r.mu.Lock()
	r.waiting = append(r.waiting, result)
	if !r.reading {
		r.reading = true
		go r.run()
	}
	r.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case read := <-result:
		if err := cmp.Or(read.err, read.unreadable[service]); err != nil {
			return nil, err
		}
		return read.byService[service], nil
	}
}

func (r *versionReader) spacing() time.Duration {
	return versionReadSpacing * time.Duration(r.fleetSize())
}

// run reads until nobody waits.
func (r *versionReader) run() {
	for {
		r.mu.Lock()
		served := r.waiting
		r.waiting = nil
		r.reading = len(served) > 0
		r.mu.Unlock()
		if len(served) == 0 {
			return
		}
		read := r.read()
		if read.err != nil {
			r.logFailure(read.err, len(served))
		}
		for _, result := range served {
			result <- read
		}
		time.Sleep(r.spacing())
	}
}

func (r *versionReader) logFailure(err error, streams int) {
	withheld, allowed := r.failures.Allow(time.Now(), versionCollection)
	if allowed {
		r.log.WithFields(logrus.Fields{"event": "versions_not_read", "streams": streams, "withheld": withheld, "error": telemetry.Shorten(err.Error())}).Warn("too few peers answered and the platform could not be read; streams of unknown origin are not resumed")
	}
}

// read returns the listed versions and those stored as recent. The latter are read last: a version
// whose last endpoint has left before the list has been stored until then.
func (r *versionReader) read() versionsRead {
	ctx, cancel := context.WithTimeout(context.Background(), versionReadTimeout)
	defer cancel()
	listed, err := r.store.List(ctx, r.source.EndpointCollection(), "")
	if err != nil {
		return versionsRead{err: err}
	}
	stored, err := r.store.List(ctx, versionCollection, "")
	if err != nil {
		return versionsRead{err: err}
	}
	byService := make(map[string][]string)
	for _, o := range listed.Items {
		if e, ok := r.decodeEndpoint(o); ok {
			byService[e.Service] = append(byService[e.Service], e.Version)
		}
	}
	unreadable := make(map[string]error)
	for _, o := range stored.Items {
		versions, err := decodeVersions(o)
		if err != nil {
			unreadable[o.Name] = err // The version store logs them.
		}
		byService[o.Name] = append(byService[o.Name], versions...)
	}
	return versionsRead{unreadable: unreadable, byService: lo.MapValues(byService, func(versions []string, _ string) []string { return lo.Uniq(versions) })}
}

// decodeEndpoint decodes an entry; the watcher logs those that name no endpoint.
func (r *versionReader) decodeEndpoint(o platform.Object) (routetable.Endpoint, bool) {
	e, err := r.source.DecodeEndpoint(o.Name, o.Data)
	return e, err == nil
}
