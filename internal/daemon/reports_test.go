package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/routing"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
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
	return []endpoint.CacheEvent{{Seq: 1, Type: endpoint.CacheStored, Blocks: []uint64{1, 2, 3}}}, false, nil
}

var _ = Describe("Cache events", func() {
	It("reach the fleet along with load reports, each once, so that a cached prefix draws its request", func() {
		endpoints := []catalog.Endpoint{{Name: "a", Service: "s", Address: "192.0.2.1:1"}, {Name: "b", Service: "s", Address: "192.0.2.2:1"}}
		snapshot, _ := catalog.NewSnapshot(1, []catalog.Record{{Kind: catalog.KindService, Name: "s", Spec: []byte(`{"name":"s","kind":"engine","models":["m"]}`)}})
		pools := newPoolFactory(estimate.New(estimate.Config{}))
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
		Expect(reports.since).To(Equal([]int64{0, 1}))
		for n := range 4 {
			placed, ok := fleet.Place(time.Now(), routing.Ask{ID: string(rune('a' + n)), Pool: "s", Weight: 1, Prefix: []uint64{1, 2, 3}, PromptTokens: 192})
			Expect(ok).To(BeTrue())
			Expect(placed.Endpoint.Name).To(Equal("b"))
		}
	})
})
