// Package keptanswer remembers what became of the keyed work that this daemon
// dispatched, and finds out from the other daemons what became of theirs, so that
// a resend after the end gets the kept answer.
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
	// maxRecords bounds the number of keyed requests that are remembered.
	maxRecords = 65_536
	// fetchTimeout bounds the question to the holder's daemon.
	fetchTimeout = 500 * time.Millisecond
)

// Peers asks another daemon; *peer.Client implements it.
type Peers interface {
	FetchAnswer(ctx context.Context, address, workspace, key string) (answer []byte, found bool, err error)
}

// Options configures a Store. All fields are required.
type Options struct {
	View  membership.View
	Peers Peers
	// MaxBytes bounds the memory for answers.
	MaxBytes int
}

// record is what is known of one keyed request, in the form in which daemons exchange it.
type record struct {
	RequestID   string                   `json:"request_id"`
	Incarnation string                   `json:"incarnation"`
	State       dispatch.HolderState     `json:"state"`
	Answer      *dispatch.StoredResponse `json:"answer,omitempty"`
}

type recordKey struct{ workspace, key string }

// Store implements dispatch.Answers. Methods may be called concurrently.
type Store struct {
	options Options

	mu      sync.Mutex
	records *lru.Cache[recordKey, record]
	bytes   int
}

// New returns an empty store.
func New(options Options) (*Store, error) {
	s := &Store{options: options}
	records, err := lru.NewWithEvict(maxRecords, s.evicted)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "kept answers")
	}
	s.records = records
	return s, nil
}

// evicted is called under the lock.
func (s *Store) evicted(_ recordKey, r record) { s.bytes -= size(r) }

func size(r record) int {
	if r.Answer == nil {
		return 0
	}
	return len(r.Answer.Body)
}

// Begin implements dispatch.Answers.
func (s *Store) Begin(c claim.Claim) {
	s.put(c, record{State: dispatch.HolderRunning})
}

// End implements dispatch.Answers.
func (s *Store) End(c claim.Claim, completed bool, answer *dispatch.StoredResponse) {
	switch {
	case answer != nil:
		s.put(c, record{State: dispatch.HolderStored, Answer: answer})
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
	s.bytes += size(r)
	s.dropBodies()
}

// dropBodies forgets the oldest bodies, but not that their requests ran.
func (s *Store) dropBodies() {
	for _, k := range s.records.Keys() {
		if s.bytes <= s.options.MaxBytes {
			return
		}
		r, ok := s.records.Peek(k)
		if !ok || r.Answer == nil {
			continue
		}
		s.bytes -= size(r)
		r.Answer = nil
		r.State = dispatch.HolderCompleted
		s.records.Add(k, r) // Replaces the value, without a call of evicted.
	}
}

// Find implements dispatch.Answers.
func (s *Store) Find(ctx context.Context, holder claim.Claim) (dispatch.StoredResponse, dispatch.HolderState) {
	self := s.options.View.Self()
	if holder.Daemon == self.ID {
		return s.local(holder)
	}
	return s.remote(ctx, holder)
}

func (s *Store) local(holder claim.Claim) (dispatch.StoredResponse, dispatch.HolderState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records.Get(recordKey{holder.Workspace, holder.Key})
	if !ok {
		return dispatch.StoredResponse{}, dispatch.HolderUnknown
	}
	return r.heldBy(holder)
}

// heldBy answers for the request that holds the key, and for no other.
func (r record) heldBy(holder claim.Claim) (dispatch.StoredResponse, dispatch.HolderState) {
	if r.RequestID != holder.RequestID || r.Incarnation != holder.Incarnation {
		return dispatch.StoredResponse{}, dispatch.HolderUnknown
	}
	return lo.FromPtr(r.Answer), r.State
}

func (s *Store) remote(ctx context.Context, holder claim.Claim) (dispatch.StoredResponse, dispatch.HolderState) {
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
	return r.heldBy(holder)
}

// Serve answers a peer that asks for a keyed request dispatched here.
func (s *Store) EncodedRecord(_ context.Context, workspace, key string) (answer []byte, found bool, err error) {
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
