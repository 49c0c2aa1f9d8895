package daemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

// cachedPrompts is the number of prompts whose blocks endpoint "b" has in its cache.
const cachedPrompts = 32

// promptBlocks returns the block hashes of the n-th prompt, distinct for each prompt.
func promptBlocks(n int) []uint64 {
	first := uint64(10 * (n + 1))
	return []uint64{first, first + 1, first + 2}
}

// fakeReportClient serves cache events for endpoint "b" only.
type fakeReportClient struct{ requestedSince []int64 }

func (*fakeReportClient) Load(_ context.Context, e catalog.Endpoint) (routing.Load, error) {
	return routing.Load{Endpoint: e.Name}, nil
}

func (f *fakeReportClient) CacheEvents(_ context.Context, e catalog.Endpoint, since int64) ([]endpoint.CacheEvent, bool, error) {
	f.requestedSince = append(f.requestedSince, since)
	if e.Name != "b" || since > 0 {
		return nil, false, nil
	}
	var events []endpoint.CacheEvent
	for n := range cachedPrompts {
		events = append(events, endpoint.CacheEvent{Sequence: int64(n + 1), Type: endpoint.CacheStored, Blocks: promptBlocks(n)})
	}
	return events, false, nil
}

var _ = Describe("Cache events", func() {
	It("are read once each with the load reports, and attract requests to the endpoint that has their prefix cached", func() {
		endpoints := []catalog.Endpoint{{Name: "a", Service: "s", Address: "192.0.2.1:1"}, {Name: "b", Service: "s", Address: "192.0.2.2:1"}}
		snapshot, _ := catalog.NewSnapshot(1, []catalog.Record{{Kind: catalog.KindService, Name: "s", Spec: []byte(`{"name":"s","kind":"engine","models":["m"]}`)}})
		pools := newPoolFactory(estimate.New(estimate.Config{}), quarantine.New(quarantine.Config{}))
		fleet, ok := pools.newPool("s", false).Fleet.(*placement.Fleet)
		Expect(ok).To(BeTrue())
		for i := range endpoints {
			endpoints[i] = endpoints[i].WithDefaults()
		}
		fleet.Update(time.Now(), endpoints, nil)
		client := &fakeReportClient{}
		reader := newReportReader(client, func() *catalog.Snapshot { return snapshot }, pools)
		for range 2 {
			_, err := reader.Load(context.Background(), endpoints[1])
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(client.requestedSince).To(Equal([]int64{0, cachedPrompts}))
		for n := range cachedPrompts {
			request := routing.PermitRequest{ID: fmt.Sprint(n), Pool: "s", Weight: 1, Prefix: promptBlocks(n), PromptTokens: 192}
			placed, ok := fleet.Place(time.Now(), request)
			Expect(ok).To(BeTrue())
			Expect(placed.Endpoint.Name).To(Equal("b"))
			fleet.Done(time.Now(), routing.Report{AttemptID: request.ID, Pool: "s", Endpoint: "b", Result: routing.ResultCancelled})
		}
	})
})
