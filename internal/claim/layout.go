package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
)

const (
	// MaxShards bounds the number of shards.
	MaxShards = 512
	// layoutName is the object that fixes the number of shards for all daemons.
	layoutName = "layout"
)

// layout is the stored number of shards, and whether it was compared with the setting.
type layout struct {
	// turn holds one token while the layout is checked; unlike a mutex, a wait for it can end early.
	turn    chan struct{}
	checked bool
	// Shards is the number of shards; two daemons with different numbers would look for one
	// key in different shards.
	Shards int `json:"shards"`
}

// checkLayout compares the stored number of shards with the setting. The first daemon
// stores its own.
func (l *Log) checkLayout(ctx context.Context) error {
	select {
	case l.layout.turn <- struct{}{}:
	case <-ctx.Done():
		return l.abandonedFailure(ctx)
	}
	defer func() { <-l.layout.turn }()
	if l.layout.checked {
		return nil
	}
	stored, err := l.readLayout(ctx)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			l.breaker.failed(l.now(), minRetryInterval)
		}
		return unavailableFailure(err, minRetryInterval)
	}
	if stored != l.options.Shards {
		return failure.New(failure.Internal, fmt.Sprintf("the claim log has %d shards, the settings say %d", stored, l.options.Shards)).
			WithOutcome(failure.NotRun)
	}
	l.layout.checked = true
	return nil
}

func (l *Log) readLayout(ctx context.Context) (int, error) {
	o, err := l.store.Get(ctx, platform.ClaimCollection, layoutName)
	if platform.ReasonOf(err) == platform.NotFound {
		return l.createLayout(ctx)
	}
	if err != nil {
		return 0, err
	}
	var stored layout
	if err := json.Unmarshal(o.Data, &stored); err != nil {
		return 0, err
	}
	return stored.Shards, nil
}

// createLayout stores this daemon's number, or returns the number that another daemon has
// stored first. After an error the claim is refused and the next one reads again.
func (l *Log) createLayout(ctx context.Context) (int, error) {
	data, err := json.Marshal(&layout{Shards: l.options.Shards})
	if err != nil {
		return 0, err
	}
	_, err = l.store.Create(ctx, platform.Object{Collection: platform.ClaimCollection, Name: layoutName, Data: data})
	if platform.ReasonOf(err) == platform.Exists {
		o, err := l.store.Get(ctx, platform.ClaimCollection, layoutName)
		if err != nil {
			return 0, err
		}
		var stored layout
		err = json.Unmarshal(o.Data, &stored)
		return stored.Shards, err
	}
	return l.options.Shards, err
}
