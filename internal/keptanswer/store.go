// Package keptanswer stores the state and the response of the keyed requests (requests
// with an idempotency key) that this daemon dispatched, and queries other daemons for
// theirs, so that a resend of a completed request gets the stored response.
package keptanswer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/membership"
)

const (
	// maxRecords is the maximum number of keyed requests in the store.
	maxRecords = 65_536
	// fetchTimeout is the timeout of a query to the daemon of the key's holder.
	fetchTimeout = 500 * time.Millisecond
)

// Peers queries other daemons; *peer.Client implements it.
type Peers interface {
	FetchAnswer(ctx context.Context, address, workspace, key string) (response []byte, found bool, err error)
}

// Options configures a Store. All fields are required.
type Options struct {
	View  membership.View
	Peers Peers
	// MaxBytes is the maximum total size of the stored response bodies.
	MaxBytes int
}

// record is the state of one keyed request, in the format that daemons exchange.
type record struct {
	RequestID   string                   `json:"request_id"`
	Incarnation string                   `json:"incarnation"`
	State       dispatch.HolderState     `json:"state"`
	Response    *dispatch.StoredResponse `json:"answer,omitempty"`
}

type recordKey struct{ workspace, key string }

// Store implements dispatch.ResponseStore. All methods are safe for concurrent use.
type Store struct {
	options Options

	mu          sync.Mutex
	records     *lru.Cache[recordKey, record]
	storedBytes int
}

// New returns an empty store.
func New(options Options) (*Store, error) {
	s := &Store{options: options}
	records, err := lru.NewWithEvict(maxRecords, s.onEvict)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "kept answers")
	}
	s.records = records
	return s, nil
}

// onEvict is called with mu held.
func (s *Store) onEvict(_ recordKey, r record) { s.storedBytes -= bodySize(r) }

func bodySize(r record) int {
	if r.Response == nil {
		return 0
	}
	return len(r.Response.Body)
}

// Begin implements dispatch.ResponseStore.
func (s *Store) Begin(c claim.Claim) {
	s.put(c, record{State: dispatch.HolderRunning})
}

// End implements dispatch.ResponseStore.
func (s *Store) End(c claim.Claim, completed bool, response *dispatch.StoredResponse) {
	switch {
	case response != nil:
		s.put(c, record{State: dispatch.HolderStored, Response: response})
	case completed:
		s.put(c, record{State: dispatch.HolderCompleted})
	default:
		s.put(c, record{State: dispatch.HolderUnknown})
	}
}

func (s *Store) put(c claim.Claim, r record) {
	r.RequestID = c.RequestID
	r.Incarnation = c.Incarnation
	s.mu.Lock()
	defer s.mu.Unlock()
	k := recordKey{c.Workspace, c.Key}
	s.records.Remove(k)
	s.records.Add(k, r)
	s.storedBytes += bodySize(r)
	s.dropOldestBodies()
}

// dropOldestBodies drops the oldest response bodies until MaxBytes is met. Their records
// remain, with the state that the request completed.
func (s *Store) dropOldestBodies() {
	for _, k := range s.records.Keys() {
		if s.storedBytes <= s.options.MaxBytes {
			return
		}
		r, ok := s.records.Peek(k)
		if !ok || r.Response == nil {
			continue
		}
		s.storedBytes -= bodySize(r)
		r.Response = nil
		r.State = dispatch.HolderCompleted
		s.records.Add(k, r) // Replaces the value without a call of onEvict.
	}
}

// Find implements dispatch.ResponseStore.
func (s *Store) Find(ctx context.Context, holder claim.Claim) (dispatch.StoredResponse, dispatch.HolderState) {
	self := s.options.View.Self()
	if holder.Daemon == self.ID {
		return s.findLocal(holder)
	}
	return s.findRemote(ctx, holder)
}

func (s *Store) findLocal(holder claim.Claim) (dispatch.StoredResponse, dispatch.HolderState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records.Get(recordKey{holder.Workspace, holder.Key})
	if !ok {
		return dispatch.StoredResponse{}, dispatch.HolderUnknown
	}
	return r.responseFor(holder)
}

// responseFor returns the response and state if the record belongs to the request that
// holds the key, otherwise HolderUnknown.
func (r record) responseFor(holder claim.Claim) (dispatch.StoredResponse, dispatch.HolderState) {
	if r.RequestID != holder.RequestID || r.Incarnation != holder.Incarnation {
		return dispatch.StoredResponse{}, dispatch.HolderUnknown
	}
	return lo.FromPtr(r.Response), r.State
}

func (s *Store) findRemote(ctx context.Context, holder claim.Claim) (dispatch.StoredResponse, dispatch.HolderState) {
	member, ok := lo.Find(s.options.View.Members(), func(m membership.Member) bool { return m.ID == holder.Daemon })
	if !ok || member.Incarnation != holder.Incarnation {
		return dispatch.StoredResponse{}, dispatch.HolderUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, found, err := s.options.Peers.FetchAnswer(ctx, member.PeerAddress, holder.Workspace, holder.Key)
	if err != nil || !found {
		return dispatch.StoredResponse{}, dispatch.HolderUnknown
	}
	var r record
	if json.Unmarshal(data, &r) != nil {
		return dispatch.StoredResponse{}, dispatch.HolderUnknown
	}
	return r.responseFor(holder)
}

// EncodedRecord returns the record of a keyed request dispatched by this daemon as JSON,
// for a peer that queries it.
func (s *Store) EncodedRecord(_ context.Context, workspace, key string) (response []byte, found bool, err error) {
	s.mu.Lock()
	r, ok := s.records.Peek(recordKey{workspace, key})
	s.mu.Unlock()
	if !ok {
		return nil, false, nil
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, false, failure.Wrap(err, failure.Internal, "kept answer could not be encoded")
	}
	return data, true, nil
}
