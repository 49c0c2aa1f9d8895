package distribution_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
	standin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

// change is one Apply call and its result, as the operator observed it.
type change struct {
	name             string
	expected         int64
	version          int64
	code             failure.Code
	started, ended   time.Time
	inForce, members int
}

// history records the changes of concurrent operators.
type history struct {
	mu      sync.Mutex
	changes []change
}

func (h *history) add(c change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, c)
}

// violations checks the accepted changes against the rules of a conditional write: no two
// changes replace the same version, and a change that started after another one ended has
// a higher version.
func (h *history) violations() (out []string) {
	type base struct {
		name    string
		version int64
	}
	replaced := map[base]int64{}
	for _, c := range h.changes {
		if c.code != "" {
			continue
		}
		b := base{c.name, c.expected}
		if earlier, taken := replaced[b]; taken {
			out = append(out, fmt.Sprintf("%s: versions %d and %d both replaced %d", c.name, earlier, c.version, c.expected))
		}
		replaced[b] = c.version
		for _, other := range h.changes {
			if other.code == "" && other.ended.Before(c.started) && other.version >= c.version {
				out = append(out, fmt.Sprintf("%s: version %d came after %d", c.name, c.version, other.version))
			}
		}
	}
	return out
}

// runOperator applies changes through randomly chosen daemons.
func runOperator(i *installation, h *history, rng *rand.Rand, operations int) {
	ids := []string{"a", "b", "c"}
	for n := range operations {
		d := i.get(ids[rng.IntN(len(ids))])
		if d == nil {
			continue
		}
		name := fmt.Sprintf("p%d", rng.IntN(2))
		c := change{name: name, expected: d.version(catalog.KindProfile, name)(), started: time.Now()}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		result, err := d.distributor.Apply(ctx, catalog.KindProfile, profile(name, 1+n), distribution.WriteOptions{ExpectedVersion: &c.expected})
		cancel()
		c.ended, c.code, c.version, c.inForce, c.members = time.Now(), failure.CodeOf(err), result.Version, result.InForce, result.Members
		h.add(c)
	}
}

// injectFaults injects random faults until stop is closed, then clears them all.
func injectFaults(i *installation, rng *rand.Rand, stop <-chan struct{}) {
	ids := []string{"a", "b", "c"}
	for {
		id := ids[rng.IntN(len(ids))]
		switch rng.IntN(8) {
		case 0:
			i.platform.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
		case 1:
			i.platform.SetFaults(standin.Faults{StaleMS: 400})
		case 2:
			i.platform.SetFaults(standin.Faults{LoseReplyProbability: 0.5, Seed: rng.Uint64()})
		case 3:
			i.platform.SetFaults(standin.Faults{SkipEvents: 2, CutWatches: true})
		case 4:
			i.cutPeers(id, true)
		case 5:
			i.get(id).store.cut.Store(true)
		case 6:
			i.stop(id)
			i.start(id)
		case 7:
			i.platform.SetFaults(standin.Faults{DelayMS: 50})
		}
		select {
		case <-stop:
			clearFaults(i)
			return
		case <-time.After(150 * time.Millisecond):
		}
		if rng.IntN(2) == 0 {
			clearFaults(i)
		}
	}
}

func clearFaults(i *installation) {
	i.platform.SetFaults(standin.Faults{})
	for _, d := range i.all() {
		d.store.cut.Store(false)
		i.cutPeers(d.id, false)
	}
}

var _ = Describe("History of concurrent changes", func() {
	DescribeTable("never reverts, and converges within convergenceTimeout",
		func(seed uint64) {
			i := newInstallation("a", "b", "c")
			i.awaitReady()
			h := &history{}
			stop, disturbed := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(disturbed)
				injectFaults(i, rand.New(rand.NewPCG(seed, 0)), stop)
			}()
			var operators sync.WaitGroup
			for n := range 3 {
				operators.Go(func() { runOperator(i, h, rand.New(rand.NewPCG(seed, uint64(n+1))), 12) })
			}
			operators.Wait()
			close(stop)
			<-disturbed

			accepted := 0
			newest := map[string]int64{}
			for _, c := range h.changes {
				if c.code == "" {
					accepted++
					newest[c.name] = max(newest[c.name], c.version)
				}
			}
			AddReportEntry("accepted", fmt.Sprintf("%d of %d", accepted, len(h.changes)), ReportEntryVisibilityFailureOrVerbose)
			Expect(accepted).To(BeNumerically(">", 0))
			Expect(h.violations()).To(BeEmpty())
			for name, version := range newest {
				stored, err := i.platform.Store().Get(context.Background(), platform.ConfigCollection, "profile."+name)
				Expect(err).NotTo(HaveOccurred())
				Expect(stored.Version).To(BeNumerically(">=", version), "an accepted change must not be lost")
				for _, d := range i.all() {
					Eventually(d.version(catalog.KindProfile, name), convergenceTimeout).Should(Equal(stored.Version))
				}
			}
			for _, d := range i.everStarted() {
				Expect(d.observedRegressions()).To(BeEmpty())
			}
		},
		Entry("seed 1", uint64(1)),
		Entry("seed 2", uint64(2)),
		Entry("seed 3", uint64(3)),
	)
})
