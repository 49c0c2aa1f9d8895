package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

// tableHolder holds the route table in force. A lower version never replaces a higher
// one, wherever it comes from. It is safe for concurrent use.
type tableHolder struct {
	source adapter.Source
	log    *logrus.Logger
	// installed is called after each change that the platform told.
	installed func()

	mu      sync.Mutex
	table   *routetable.Table
	data    []byte
	changed time.Time
}

// Table returns the table in force, or nil.
func (h *tableHolder) Table() *routetable.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table
}

// Version returns the version in force, or 0.
func (h *tableHolder) Version() int64 {
	if t := h.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// Age returns the time since the table in force was installed, or 0.
func (h *tableHolder) Age(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return 0
	}
	return now.Sub(h.changed)
}

// Data returns the object that the table in force was made of, or nil.
func (h *tableHolder) Data() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.data
}

// Install puts a table in force unless one at least as new is. It reports whether it did.
func (h *tableHolder) Install(data []byte, from string) bool {
	spec, err := h.source.DecodeTable(data)
	if err != nil {
		h.log.WithFields(logrus.Fields{"event": "table_refused", "from": from, "error": err}).Error("a configuration could not be read; the one in force stays")
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	old := int64(0)
	if h.table != nil {
		old = h.table.Version()
	}
	if spec.Version <= old {
		return false
	}
	h.table, h.data, h.changed = routetable.New(spec), json.RawMessage(append([]byte(nil), data...)), time.Now()
	routes, workspaces := h.table.Counts()
	h.log.WithFields(logrus.Fields{
		"event": "table", "version": spec.Version, "previous": old, "from": from, "routes": routes, "workspaces": workspaces,
	}).Info("configuration in force")
	return true
}

// installFromPlatform installs a table and lets peers know.
func (h *tableHolder) installFromPlatform(data []byte) {
	if h.Install(data, "platform") {
		h.installed()
	}
}

// followTable keeps the table as new as the platform tells.
func (w *watcher) followTable(ctx context.Context, h *tableHolder) {
	collection, name := w.source.TableObject()
	w.follow(ctx, collection, collectionHandler{
		listed: func(items []platform.Object) {
			for _, item := range items {
				if item.Name == name {
					h.installFromPlatform(item.Data)
				}
			}
		},
		changed: func(event platform.Event) {
			if event.Object.Name == name && event.Type == platform.Put {
				h.installFromPlatform(event.Object.Data)
			}
		},
	})
}
