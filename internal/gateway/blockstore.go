package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// partCollection and contentCollection hold an object for each blocked part and each blocked
	// request, so that gateways which all restart at once know them again.
	partCollection, contentCollection = "blocked-parts", "blocked-requests"
	// blockedCollections is the number of these collections.
	blockedCollections = 2
	// blockStoreInterval is the interval between two looks at what is to be stored.
	blockStoreInterval = 500 * time.Millisecond
	// blockStoreTurn is the time for which one gateway, of all, is the one that stores a change. A later
	// one does it again, as the one before may have ended or the platform may have been away.
	blockStoreTurn = 10 * time.Second
	// blockLoadTimeout bounds each attempt to list the stored blocks at the start.
	blockLoadTimeout = 800 * time.Millisecond
	// maxBlockLoadDelay bounds the random delay between two of these attempts, which doubles from
	// blockStoreInterval.
	maxBlockLoadDelay = 5 * time.Second
)

// storedBlock is the content of an object of both collections.
type storedBlock struct {
	Generation   uint32 `json:"generation"`
	FailedTrials uint32 `json:"failed_trials"`
}

// blockStores are the stores of all ledgers.
type blockStores []*blockStore

// Run runs each store until ctx ends.
func (s blockStores) Run(ctx context.Context) {
	for _, store := range s {
		go store.Run(ctx)
	}
}

// blockStore keeps the blocks of a ledger at the platform.
type blockStore struct {
	store      platform.Store
	collection string
	ledger     *parts.Ledger
	// storesPart reports whether this gateway stores the changes of a part in a turn.
	storesPart func(part parts.Key, turn int64) bool
	// onLoad is called once the stored blocks have been read.
	onLoad func()
	log    *logrus.Logger
	// refusals bounds the lines on stored blocks that can't be read.
	refusals telemetry.LineLimit
	// stored has the turns in which this gateway has stored the state of a part.
	stored map[storedTurn]bool
}

type storedTurn struct {
	part         parts.Key
	generation   uint32
	failedTrials uint32
	turn         int64
}

// Run loads the stored blocks, and stores changes until ctx ends.
func (p *blockStore) Run(ctx context.Context) {
	go p.loadOnce(ctx)
	for ctx.Err() == nil {
		for _, state := range p.ledger.States(time.Now()) {
			if turn, due := storeTurn(state.Age); due {
				p.storeInTurn(ctx, state, turn)
			}
		}
		sleep(ctx, blockStoreInterval)
	}
}

// loadOnce reads the stored blocks. Each gateway does, since a request that crashes endpoints may come
// to any of them right after its start.
func (p *blockStore) loadOnce(ctx context.Context) {
	started := time.Now()
	for delay := blockStoreInterval; ctx.Err() == nil; delay = min(2*delay, maxBlockLoadDelay) {
		err := p.load(ctx)
		if err == nil {
			p.log.WithFields(logrus.Fields{"event": "blocks_loaded", "collection": p.collection, "took": time.Since(started)}).Info("the blocked parts or requests were read from the platform")
			p.onLoad()
			return
		}
		if ctx.Err() == nil {
			p.log.WithFields(logrus.Fields{"event": "parts_not_loaded", "collection": p.collection, "error": err}).Warn("the blocked parts or requests could not be read from the platform")
		}
		sleep(ctx, delay/2+rand.N(delay/2))
	}
}

// storeTurn returns the turn at which a change of that age is, and whether it is stored in that
// turn: in the first ones, and then ever less often.
func storeTurn(age time.Duration) (turn int64, due bool) {
	turn = int64(age / blockStoreTurn)
	return turn, turn&(turn-1) == 0
}

func (p *blockStore) storeInTurn(ctx context.Context, state parts.State, turn int64) {
	key := storedTurn{state.Part, state.Generation, state.FailedTrials, turn}
	if p.stored[key] || !p.storesPart(state.Part, turn) {
		return
	}
	write := p.remove
	if state.Blocked() {
		write = p.put
	}
	if err := write(ctx, state); err != nil {
		p.log.WithFields(logrus.Fields{"event": "part_not_stored", "collection": p.collection, "part": state.Part, "blocked": state.Blocked(), "error": err}).Warn("the state of a part or request could not be stored at the platform; it is tried again")
		return
	}
	for other := range p.stored {
		if other.part == state.Part {
			delete(p.stored, other)
		}
	}
	p.stored[key] = true
}

func (p *blockStore) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, blockLoadTimeout)
	defer cancel()
	list, err := p.store.List(ctx, p.collection, "")
	if err != nil {
		return err
	}
	var evidence parts.Evidence
	for _, o := range list.Items {
		block, err := decodeBlock(o)
		if err != nil {
			if withheld, allowed := p.refusals.Allow(time.Now(), o.Name); allowed {
				p.log.WithFields(logrus.Fields{
					"event": "part_unreadable", "collection": p.collection, "object": telemetry.Shorten(o.Name), "withheld": withheld, "error": telemetry.Shorten(err.Error()),
				}).Warn("a stored block can't be read and is ignored")
			}
			continue
		}
		evidence.Blocks = append(evidence.Blocks, block)
	}
	p.ledger.Merge(time.Now(), evidence)
	return nil
}

// decodeBlock decodes an object of either collection.
func decodeBlock(o platform.Object) (parts.Block, error) {
	part, err := strconv.ParseUint(o.Name, 16, 64)
	if err != nil {
		return parts.Block{}, err
	}
	var content storedBlock
	if err := json.Unmarshal(o.Data, &content); err != nil {
		return parts.Block{}, err
	}
	return parts.Block{Part: parts.Key(part), Generation: content.Generation, FailedTrials: content.FailedTrials}, nil
}

// put stores a blocked part, unless a state as late is stored.
func (p *blockStore) put(ctx context.Context, state parts.State) error {
	data, err := json.Marshal(storedBlock{Generation: state.Generation, FailedTrials: state.FailedTrials})
	if err != nil {
		return oops.Wrapf(err, "blocked part")
	}
	o := platform.Object{Collection: p.collection, Name: state.Part.String(), Data: data}
	_, err = p.store.Create(ctx, o)
	if platform.ReasonOf(err) != platform.Exists {
		return err
	}
	current, err := p.store.Get(ctx, o.Collection, o.Name)
	if err != nil {
		return err
	}
	var content storedBlock
	if json.Unmarshal(current.Data, &content) == nil && content.Generation >= state.Generation && content.FailedTrials >= state.FailedTrials {
		return nil
	}
	o.Version = current.Version
	_, err = p.store.Update(ctx, o)
	return err
}

// remove removes a part whose block was lifted.
func (p *blockStore) remove(ctx context.Context, state parts.State) error {
	current, err := p.store.Get(ctx, p.collection, state.Part.String())
	if platform.ReasonOf(err) == platform.NotFound {
		return nil
	}
	if err != nil {
		return err
	}
	var content storedBlock
	if json.Unmarshal(current.Data, &content) == nil && content.Generation > state.Generation {
		return nil // It was blocked again.
	}
	err = p.store.Delete(ctx, p.collection, current.Name, current.Version)
	if platform.ReasonOf(err) == platform.NotFound {
		return nil
	}
	return err
}
