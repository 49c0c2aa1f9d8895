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
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// tableHolder holds the route table in force. A lower version never replaces a higher one,
// whether it comes from the platform or from a peer. It is safe for concurrent use.
type tableHolder struct {
	source adapter.Source
	log    *logrus.Logger
	// refusals bounds the lines on tables that can't be decoded.
	refusals telemetry.LineLimit
	// onInstall is called after each installation of a table received from the platform.
	onInstall func()
	// beforeInstall, if set, is called with a table before it is in force, without locks held.
	beforeInstall func(table *routetable.Table)

	mu          sync.Mutex
	table       *routetable.Table
	data        []byte
	installedAt time.Time
}

// Table returns the table in force, or nil.
func (h *tableHolder) Table() *routetable.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table
}

// Version returns the version of the table in force, or 0 if there is none.
func (h *tableHolder) Version() int64 {
	if t := h.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// Age returns the time since the table in force was installed, or 0 if there is none.
func (h *tableHolder) Age(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return 0
	}
	return now.Sub(h.installedAt)
}

// Data returns the encoded object from which the table in force was decoded, or nil.
func (h *tableHolder) Data() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.data
}

// Install decodes a table and puts it in force if it is newer than the current one. It
// reports whether it did.
func (h *tableHolder) Install(data []byte, from string) bool {
	spec, err := h.source.DecodeTable(data)
	if err != nil {
		if withheld, allowed := h.refusals.Allow(time.Now(), from); allowed {
			h.log.WithFields(logrus.Fields{"event": "table_refused", "from": from, "withheld": withheld, "error": telemetry.Shorten(err.Error())}).Error("a route table could not be decoded; the current one stays in force")
		}
		return false
	}
	if spec.Version <= h.Version() {
		return false
	}
	table := routetable.New(spec)
	if h.beforeInstall != nil {
		h.beforeInstall(table)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := int64(0)
	if h.table != nil {
		previous = h.table.Version()
	}
	if spec.Version <= previous {
		return false // Another one was installed meanwhile.
	}
	h.table, h.data, h.installedAt = table, json.RawMessage(append([]byte(nil), data...)), time.Now()
	routes, workspaces := h.table.Counts()
	h.log.WithFields(logrus.Fields{
		"event": "table", "version": spec.Version, "previous": previous, "from": from, "routes": routes, "workspaces": workspaces,
	}).Info("route table installed")
	for _, left := range spec.LeftOut {
		if withheld, allowed := h.refusals.Allow(time.Now(), left.Item); allowed {
			h.log.WithFields(logrus.Fields{
				"event": "table_part_refused", "item": telemetry.Shorten(left.Item), "version": spec.Version, "withheld": withheld, "error": telemetry.Shorten(left.Reason.Error()),
			}).Warn("a part of the route table can't be used; the rest is in force")
		}
	}
	return true
}

// installFromPlatform installs a table received from the platform and calls onInstall.
func (h *tableHolder) installFromPlatform(data []byte) {
	if h.Install(data, "platform") {
		h.onInstall()
	}
}

// watchTable keeps the table in force up to date with the platform.
func (w *watcher) watchTable(ctx context.Context, h *tableHolder) {
	collection, name := w.source.TableObject()
	w.watchCollection(ctx, collection, collectionHandler{
		onList: func(list platform.List) {
			for _, item := range list.Items {
				if item.Name == name {
					h.installFromPlatform(item.Data)
				}
			}
		},
		onEvent: func(event platform.Event) {
			if event.Object.Name == name && event.Type == platform.Put {
				h.installFromPlatform(event.Object.Data)
			}
		},
	})
}
