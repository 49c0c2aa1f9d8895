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

// prompts is the number of prompts whose blocks the endpoint "b" has cached.
const prompts = 32

func blocks(n int) []uint64 {
	first := uint64(10 * (n + 1))
	return []uint64{first, first + 1, first + 2}
}

// fakeReports has cache events for the endpoint "b".
type fakeReports struct{ since []int64 }

func (*fakeReports) Load(_ context.Context, e catalog.Endpoint) (routing.Load, error) {
	return routing.Load{Endpoint: e.Name}, nil
}

func (f *fakeReports) CacheEvents(_ context.Context, e catalog.Endpoint, since int64) ([]endpoint.CacheEvent, bool, error) {
	f.since = append(f.since, since)
	if e.Name != "b" || since > 0 {
		return nil, false, nil
	}
	var events []endpoint.CacheEvent
	for n := range prompts {
		events = append(events, endpoint.CacheEvent{Sequence: int64(n + 1), Type: endpoint.CacheStored, Blocks: blocks(n)})
	}
	return events, false, nil
}

var _ = Describe("Cache events", func() {
	It("reach the fleet along with load reports, each once, so that a cached prefix draws its request", func() {
		endpoints := []catalog.Endpoint{{Name: "a", Service: "s", Address: "192.0.2.1:1"}, {Name: "b", Service: "s", Address: "192.0.2.2:1"}}
		snapshot, _ := catalog.NewSnapshot(1, []catalog.Record{{Kind: catalog.KindService, Name: "s", Spec: []byte(`{"name":"s","kind":"engine","models":["m"]}`)}})
		pools := newPoolFactory(estimate.New(estimate.Config{}), quarantine.New(quarantine.Config{}))
		fleet, ok := pools.make("s", false).Fleet.(*placement.Fleet)
		Expect(ok).To(BeTrue())
		for i := range endpoints {
			endpoints[i] = endpoints[i].WithDefaults()
		}
		fleet.Update(time.Now(), endpoints, nil)
		reports := &fakeReports{}
		reader := newReportReader(reports, func() *catalog.Snapshot { return snapshot }, pools)
		for range 2 {
			_, err := reader.Load(context.Background(), endpoints[1])
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(reports.since).To(Equal([]int64{0, prompts}))
		for n := range prompts {
			ask := routing.PermitRequest{ID: fmt.Sprint(n), Pool: "s", Weight: 1, Prefix: blocks(n), PromptTokens: 192}
			placed, ok := fleet.Place(time.Now(), ask)
			Expect(ok).To(BeTrue())
			Expect(placed.Endpoint.Name).To(Equal("b"))
			fleet.Done(time.Now(), routing.Report{AttemptID: ask.ID, Pool: "s", Endpoint: "b", Result: routing.ResultCancelled})
		}
	})
})
