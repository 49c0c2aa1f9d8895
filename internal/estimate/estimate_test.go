package estimate_test

import (
	"fmt"
	"math/rand/v2"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/estimate"
)

var _ = Describe("Estimator", func() {
	It("falls back from pair to profile to all observations to the prior", func() {
		e := estimate.New(estimate.Config{Prior: 99, MinSamples: 4})
		Expect(e.Quantile("draft", "a", 0.5)).To(Equal(99))
		for range 4 {
			e.Observe("draft", "a", 1000)
			e.Observe("chat", "a", 10)
		}
		for range 8 {
			e.Observe("chat", "b", 50)
		}
		Expect(e.Quantile("draft", "a", 0.5)).To(BeNumerically("~", 1000, 100))
		Expect(e.Quantile("draft", "unseen", 0.5)).To(BeNumerically("~", 1000, 100))
		Expect(e.Quantile("chat", "a", 0.5)).To(BeNumerically("~", 10, 1))
		Expect(e.Quantile("chat", "unseen", 0.5)).To(BeNumerically("~", 50, 5))
		Expect(e.Quantile("unseen", "a", 0.9)).To(BeNumerically("~", 1000, 100))
	})

	It("estimates quantiles within a tenth of the range", func() {
		e := estimate.New(estimate.Config{})
		random := rand.New(rand.NewPCG(1, 2))
		for range 500 {
			e.Observe("p", "w", 1+random.IntN(1000))
		}
		Expect(e.Quantile("p", "w", 0.5)).To(BeNumerically("~", 500, 100))
		Expect(e.Quantile("p", "w", 0.9)).To(BeNumerically("~", 900, 100))
	})

	It("predicts the remaining length given the tokens produced", func() {
		e := estimate.New(estimate.Config{})
		for range 90 {
			e.Observe("p", "w", 20)
		}
		for range 10 {
			e.Observe("p", "w", 1000)
		}
		Expect(e.Remaining("p", "w", 0)).To(BeNumerically("~", 20, 2))
		Expect(e.Remaining("p", "w", 100)).To(BeNumerically("~", 900, 100))
		Expect(e.Remaining("p", "w", 5000)).To(Equal(1))
	})

	It("adapts to a change of the lengths", func() {
		e := estimate.New(estimate.Config{})
		for range 2000 {
			e.Observe("p", "w", 100)
		}
		for range 1000 {
			e.Observe("p", "w", 4000)
		}
		Expect(e.Quantile("p", "w", 0.5)).To(BeNumerically("~", 4000, 400))
	})

	It("bounds its memory at 1,700 workspaces with 12 profiles, under concurrent use", func() {
		e := estimate.New(estimate.Config{MaxSeries: 4096})
		var group sync.WaitGroup
		for profile := range 12 {
			group.Go(func() {
				for workspace := range 1700 {
					name := fmt.Sprint(workspace)
					e.Observe(fmt.Sprint(profile), name, 100)
					e.Remaining(fmt.Sprint(profile), name, 10)
				}
			})
		}
		group.Wait()
		Expect(e.Len()).To(BeNumerically("<=", 4096))
		Expect(e.Quantile("3", "7", 0.5)).To(BeNumerically("~", 100, 10))
	})
})
