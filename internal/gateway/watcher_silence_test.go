package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// silentOnceStore has one list that gets no response. Its watch ends when it is broken.
type silentOnceStore struct {
	platform.Store
	mu     sync.Mutex
	lists  int
	broken chan struct{}
}

func (s *silentOnceStore) List(_ context.Context, collection, _ string) (platform.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	entry := func(name string) platform.Object {
		return platform.Object{Collection: collection, Name: name, Version: 1, Data: []byte(`{"service":"s","address":"10.0.0.9:80","slots":1}`)}
	}
	switch s.lists {
	case 1:
		return platform.List{Version: 1, Items: []platform.Object{entry("a"), entry("b")}}, nil
	case 2:
		return platform.List{}, &platform.Error{Reason: platform.Unavailable, Op: "list", Key: collection, Silent: true}
	}
	return platform.List{Version: 2, Items: []platform.Object{entry("a")}}, nil
}

func (s *silentOnceStore) Watch(context.Context, string, int64) (platform.Watch, error) {
	return s, nil
}

func (s *silentOnceStore) Next(ctx context.Context) (platform.Event, error) {
	select {
	case <-s.broken:
		return platform.Event{}, &platform.Error{Reason: platform.WatchEnded}
	case <-ctx.Done():
		return platform.Event{}, ctx.Err()
	}
}

func (s *silentOnceStore) Close() {}

// Guards against DRAIN: an endpoint that had left stayed in use as in an outage after the connection
// of a list alone had fallen silent.
func TestAnEndpointThatLeftWhileAListWasSilentIsDroppedWithTheNextList(t *testing.T) {
	g := NewWithT(t)
	log := telemetry.NewLogger(&lockedBuffer{}, "debug")
	store := &silentOnceStore{broken: make(chan struct{}, 1)}
	w := &watcher{store: store, source: nativeSource{}, log: log, shouldWatch: func() bool { return true }, onTakeover: func() {}, started: time.Now()}
	d := directory.New()
	listed := make(chan []string, 3)
	l := &endpointList{directory: d, onNewVersion: func() {}, onAssign: func(directory.Version, bool) {}, log: log, onChange: func() {
		listed <- lo.Map(d.Endpoints(), func(e routetable.Endpoint, _ int) string { return e.ID })
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { w.watchEndpoints(ctx, l) })
	g.Eventually(listed, "20s").Should(Receive(ConsistOf("a", "b")))
	store.broken <- struct{}{}
	g.Eventually(listed, "20s").Should(Receive(ConsistOf("a")))
	cancel()
	done.Wait()
}
