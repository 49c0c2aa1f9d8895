package bench_test

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/bench"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// known keeps the reports of this test run, which are the same for the same options.
var known = map[bench.Options]bench.Report{}

func run(scenario, policy, size string) bench.Report {
	GinkgoHelper()
	options := bench.Options{Scenario: scenario, Policy: policy, Size: size, Seed: 1}
	if report, ok := known[options]; ok {
		return report
	}
	report, err := bench.Run(options)
	Expect(err).NotTo(HaveOccurred())
	known[options] = report
	return report
}

var _ = Describe("The decision bench", func() {
	It("gives the same figures twice running for a seed", func() {
		for _, policy := range []string{"power-of-two", "fixed-shares", "shared-counts", "broker"} {
			again, err := bench.Run(bench.Options{Scenario: "daemon-loss", Policy: policy})
			Expect(err).NotTo(HaveOccurred())
			Expect(again).To(Equal(run("daemon-loss", policy, "caledonian")), policy)
		}
	})

	It("gives other figures for another seed", func() {
		other, err := bench.Run(bench.Options{Scenario: "overload", Seed: 2})
		Expect(err).NotTo(HaveOccurred())
		other.Options = bench.Options{}
		same := run("overload", "broker", "caledonian")
		same.Options = bench.Options{}
		Expect(other).NotTo(Equal(same))
	})

	It("names what it does not know", func() {
		_, err := bench.Run(bench.Options{Scenario: "none"})
		Expect(failure.CodeOf(err)).To(Equal(failure.InvalidRequest))
		_, err = bench.Run(bench.Options{Policy: "none"})
		Expect(err).To(MatchError(ContainSubstring("broker")))
	})

	It("writes a table and a plot", func() {
		reports := []bench.Report{run("steady", "broker", "siamseal"), run("steady", "round-robin", "siamseal")}
		var text bytes.Buffer
		bench.WriteTable(&text, reports)
		Expect(text.String()).To(ContainSubstring("handover-summary"))
		path := filepath.Join(GinkgoT().TempDir(), "plot.png")
		Expect(bench.WritePlot(path, reports)).To(Succeed())
		Expect(lo.Must(os.ReadFile(path))).To(HavePrefix("\x89PNG"))
	})

	DescribeTable("keeps the rule of docs/design/scheduling.md, and the aims that hold everywhere",
		func(scenario, size string) {
			for _, pool := range run(scenario, "broker", size).Pools {
				Expect(pool.Violations).To(BeZero(), pool.Pool)
				Expect(pool.Inversions).To(BeZero(), pool.Pool)
				Expect(pool.Wasted).To(BeNumerically("<", 0.02), pool.Pool)
				for _, class := range pool.Classes {
					Expect(class.Starved).To(BeFalse(), class.Class)
				}
			}
		},
		func() []TableEntry {
			scenarios, _ := bench.Names()
			var entries []TableEntry
			for _, size := range bench.Sizes() {
				for _, scenario := range scenarios {
					entries = append(entries, Entry(size+" "+scenario, scenario, size))
				}
			}
			return entries
		}(),
	)

	// Load pattern: twice the load, and the daemon that brokers the pool is lost. Each seed had
	// starts of the lowest tier before asks of a higher one that waited at the lost broker.
	DescribeTable("starts no lower tier first after the loss of the broker",
		func(seed int) {
			report, err := bench.Run(bench.Options{Scenario: "daemon-loss", Policy: "broker", Size: "siamseal", Seed: uint64(seed)})
			Expect(err).NotTo(HaveOccurred())
			for _, pool := range report.Pools {
				Expect(pool.Inversions).To(BeZero(), pool.Pool)
				Expect(pool.Violations).To(BeZero(), pool.Pool)
			}
		},
		Entry("seed 2", 2), Entry("seed 8", 8),
	)

	DescribeTable("meets the aim for goodput at twice the load",
		func(size string) {
			for _, pool := range run("overload", "broker", size).Pools {
				Expect(pool.Goodput).To(BeNumerically(">=", 0.95), pool.Pool)
			}
		},
		Entry(nil, "caledonian"), Entry(nil, "siamseal"),
	)

	DescribeTable("meets the top tier's aim where the top tier fits",
		func(scenario, size string) {
			for _, pool := range run(scenario, "broker", size).Pools {
				Expect(pool.Classes[0].Tier).To(BeEquivalentTo(1))
				Expect(pool.Classes[0].Attained).To(BeNumerically(">=", 0.99), pool.Pool)
			}
		},
		Entry(nil, "overload", "caledonian"), Entry(nil, "overload", "siamseal"),
		Entry(nil, "burst-middle", "caledonian"), Entry(nil, "burst-middle", "siamseal"),
		Entry(nil, "burst-low", "caledonian"), Entry(nil, "burst-low", "siamseal"),
	)
})
