package keptanswer_test

import (
	"context"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/keptanswer"
	"github.com/primrosewell/primrosewell/internal/membership"
)

func TestKeptAnswer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stored responses")
}

// fakePeers implements membership.View and keptanswer.Peers with in-process stores, by
// daemon ID.
type fakePeers struct {
	self    string
	members []membership.Member
	stores  map[string]*keptanswer.Store
}

func (p fakePeers) Self() membership.Member {
	for _, m := range p.members {
		if m.ID == p.self {
			return m
		}
	}
	return membership.Member{}
}

func (p fakePeers) Members() []membership.Member { return p.members }

func (p fakePeers) FetchAnswer(ctx context.Context, address, workspace, key string) ([]byte, bool, error) {
	return p.stores[address].EncodedRecord(ctx, workspace, key)
}

// pair returns the stores of two daemons that are members of the same cluster.
func pair(maxBytes int) (a, b *keptanswer.Store) {
	members := []membership.Member{{ID: "a", Incarnation: "1", PeerAddress: "a"}, {ID: "b", Incarnation: "1", PeerAddress: "b"}}
	stores := map[string]*keptanswer.Store{}
	for _, m := range members {
		view := fakePeers{self: m.ID, members: members, stores: stores}
		s, err := keptanswer.New(keptanswer.Options{View: view, Peers: view, MaxBytes: maxBytes})
		Expect(err).NotTo(HaveOccurred())
		stores[m.ID] = s
	}
	return stores["a"], stores["b"]
}

func claimOf(key, request, incarnation string) claim.Claim {
	return claim.Claim{Workspace: "w", Key: key, RequestID: request, Daemon: "a", Incarnation: incarnation}
}

func storedResponse(body string) *dispatch.StoredResponse {
	return &dispatch.StoredResponse{Status: 200, Body: []byte(body)}
}

var _ = Describe("A resend", func() {
	ctx := context.Background()

	It("gets the state and the response, from this daemon and from another", func() {
		a, b := pair(1024)
		a.Begin(claimOf("k", "r1", "1"))
		_, state := b.Find(ctx, claimOf("k", "r1", "1"))
		Expect(state).To(Equal(dispatch.HolderRunning))
		a.End(claimOf("k", "r1", "1"), true, storedResponse("certificate"))
		for _, s := range []*keptanswer.Store{a, b} {
			stored, state := s.Find(ctx, claimOf("k", "r1", "1"))
			Expect(state).To(Equal(dispatch.HolderStored))
			Expect(string(stored.Body)).To(Equal("certificate"))
		}
	})

	It("never gets the response of another request or of an earlier incarnation", func() {
		a, b := pair(1024)
		a.End(claimOf("k", "r1", "1"), true, storedResponse("certificate"))
		_, state := a.Find(ctx, claimOf("k", "r2", "1"))
		Expect(state).To(Equal(dispatch.HolderUnknown))
		_, state = b.Find(ctx, claimOf("k", "r1", "0"))
		Expect(state).To(Equal(dispatch.HolderUnknown))
	})

	It("never gets the response of an earlier request with its key that ends late", func() {
		a, b := pair(1024)
		a.Begin(claimOf("k", "r1", "1"))
		a.Begin(claimOf("k", "r2", "1"))
		a.End(claimOf("k", "r1", "1"), true, storedResponse("earlier"))
		for _, s := range []*keptanswer.Store{a, b} {
			stored, state := s.Find(ctx, claimOf("k", "r2", "1"))
			Expect(state).NotTo(Equal(dispatch.HolderStored))
			Expect(stored.Body).To(BeEmpty())
		}
		a.End(claimOf("k", "r2", "1"), true, storedResponse("certificate"))
		for _, s := range []*keptanswer.Store{a, b} {
			stored, _ := s.Find(ctx, claimOf("k", "r2", "1"))
			Expect(string(stored.Body)).To(Equal("certificate"))
		}
	})

	It("gets the state completed after the oldest bodies were dropped", func() {
		a, _ := pair(100)
		for _, key := range []string{"first", "second", "third"} {
			a.End(claimOf(key, "r", "1"), true, storedResponse(strings.Repeat("x", 40)))
		}
		_, state := a.Find(ctx, claimOf("first", "r", "1"))
		Expect(state).To(Equal(dispatch.HolderCompleted))
		_, state = a.Find(ctx, claimOf("third", "r", "1"))
		Expect(state).To(Equal(dispatch.HolderStored))
	})

	It("gets the state unknown when the request ended without a complete response", func() {
		a, _ := pair(100)
		a.Begin(claimOf("k", "r", "1"))
		a.End(claimOf("k", "r", "1"), false, nil)
		_, state := a.Find(ctx, claimOf("k", "r", "1"))
		Expect(state).To(Equal(dispatch.HolderUnknown))
	})
})
