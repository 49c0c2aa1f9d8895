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
	RunSpecs(t, "kept answers")
}

// daemons is a view and a transport over in-process stores, by daemon ID.
type daemons struct {
	self    string
	members []membership.Member
	stores  map[string]*keptanswer.Store
}

func (d daemons) Self() membership.Member {
	for _, m := range d.members {
		if m.ID == d.self {
			return m
		}
	}
	return membership.Member{}
}

func (d daemons) Members() []membership.Member { return d.members }

func (d daemons) FetchAnswer(ctx context.Context, address, workspace, key string) ([]byte, bool, error) {
	return d.stores[address].EncodedRecord(ctx, workspace, key)
}

// pair returns the stores of two daemons that know each other.
func pair(maxBytes int) (a, b *keptanswer.Store) {
	members := []membership.Member{{ID: "a", Incarnation: "1", PeerAddress: "a"}, {ID: "b", Incarnation: "1", PeerAddress: "b"}}
	stores := map[string]*keptanswer.Store{}
	for _, m := range members {
		view := daemons{self: m.ID, members: members, stores: stores}
		s, err := keptanswer.New(keptanswer.Options{View: view, Peers: view, MaxBytes: maxBytes})
		Expect(err).NotTo(HaveOccurred())
		stores[m.ID] = s
	}
	return stores["a"], stores["b"]
}

func held(key, request, incarnation string) claim.Claim {
	return claim.Claim{Workspace: "w", Key: key, RequestID: request, Daemon: "a", Incarnation: incarnation}
}

func answerOf(body string) *dispatch.StoredResponse {
	return &dispatch.StoredResponse{Status: 200, Body: []byte(body)}
}

var _ = Describe("A resend", func() {
	ctx := context.Background()

	It("gets the state and the answer, here and from another daemon", func() {
		a, b := pair(1024)
		a.Begin(held("k", "r1", "1"))
		_, state := b.Find(ctx, held("k", "r1", "1"))
		Expect(state).To(Equal(dispatch.HolderRunning))
		a.End(held("k", "r1", "1"), true, answerOf("certificate"))
		for _, s := range []*keptanswer.Store{a, b} {
			kept, state := s.Find(ctx, held("k", "r1", "1"))
			Expect(state).To(Equal(dispatch.HolderStored))
			Expect(string(kept.Body)).To(Equal("certificate"))
		}
	})

	It("never gets the answer of another request or of an earlier incarnation", func() {
		a, b := pair(1024)
		a.End(held("k", "r1", "1"), true, answerOf("certificate"))
		_, state := a.Find(ctx, held("k", "r2", "1"))
		Expect(state).To(Equal(dispatch.HolderUnknown))
		_, state = b.Find(ctx, held("k", "r1", "0"))
		Expect(state).To(Equal(dispatch.HolderUnknown))
	})

	It("is told that it ran when the body had to go, oldest first", func() {
		a, _ := pair(100)
		for _, key := range []string{"first", "second", "third"} {
			a.End(held(key, "r", "1"), true, answerOf(strings.Repeat("x", 40)))
		}
		_, state := a.Find(ctx, held("first", "r", "1"))
		Expect(state).To(Equal(dispatch.HolderCompleted))
		_, state = a.Find(ctx, held("third", "r", "1"))
		Expect(state).To(Equal(dispatch.HolderStored))
	})

	It("is told that it may have run when the work ended without a whole answer", func() {
		a, _ := pair(100)
		a.Begin(held("k", "r", "1"))
		a.End(held("k", "r", "1"), false, nil)
		_, state := a.Find(ctx, held("k", "r", "1"))
		Expect(state).To(Equal(dispatch.HolderUnknown))
	})
})
