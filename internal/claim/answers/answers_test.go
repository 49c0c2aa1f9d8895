package answers_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/claim/answers"
	"github.com/primrosewell/primrosewell/internal/failure"
)

var _ = Describe("Cache", func() {
	const maxBytes = 1 << 20

	var (
		clock *clockwork.FakeClock
		cache *answers.Cache
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		var err error
		cache, err = answers.New(answers.Options{MaxBytes: maxBytes, MaxAge: time.Minute, Clock: clock})
		Expect(err).NotTo(HaveOccurred())
	})

	holder := func(workspace, key string) claim.Claim {
		return claim.Claim{Workspace: workspace, Key: key, Digest: "d", RequestID: "r"}
	}
	answer := func(body string) answers.Answer {
		return answers.Answer{Status: 200, ContentType: "text/plain", Body: []byte(body), Outcome: failure.Completed}
	}

	It("gives each key its own answer, in memory of its own", func() {
		body := []byte("one")
		a := answer("")
		a.Body = body
		Expect(cache.Keep(holder("w", "1k"), a)).To(BeTrue())
		Expect(cache.Keep(holder("w1", "k"), answer("two"))).To(BeTrue())
		body[0] = 'X'
		c, got, ok := cache.Get("w", "1k")
		Expect(ok).To(BeTrue())
		Expect(c).To(Equal(holder("w", "1k")))
		Expect(got).To(Equal(answer("one")))
		_, _, ok = cache.Get("w", "other")
		Expect(ok).To(BeFalse())
	})

	It("forgets by age", func() {
		cache.Keep(holder("w", "k"), answer("one"))
		clock.Advance(time.Minute - 1)
		_, _, ok := cache.Get("w", "k")
		Expect(ok).To(BeTrue())
		clock.Advance(1)
		_, _, ok = cache.Get("w", "k")
		Expect(ok).To(BeFalse())
	})

	It("stays within its bytes and keeps the newest", func() {
		const count, size = 1000, 4 << 10
		body := string(make([]byte, size))
		for i := range count {
			Expect(cache.Keep(holder("w", fmt.Sprint(i)), answer(body))).To(BeTrue())
		}
		left := 0
		for i := range count {
			if _, _, ok := cache.Get("w", fmt.Sprint(i)); ok {
				left++
			}
		}
		Expect(left * size).To(BeNumerically("<", maxBytes))
		Expect(left * size).To(BeNumerically(">", maxBytes/2))
		_, _, ok := cache.Get("w", fmt.Sprint(count-1))
		Expect(ok).To(BeTrue())
	})

	It("does not keep an answer that would crowd out the rest, nor the one before it", func() {
		Expect(cache.Keep(holder("w", "k"), answer("one"))).To(BeTrue())
		Expect(cache.Keep(holder("w", "k"), answer(string(make([]byte, maxBytes/8))))).To(BeFalse())
		_, _, ok := cache.Get("w", "k")
		Expect(ok).To(BeFalse())
	})

	It("replaces the answer of a key", func() {
		for range 100 {
			Expect(cache.Keep(holder("w", "k"), answer(string(make([]byte, maxBytes/32))))).To(BeTrue())
		}
		Expect(cache.Keep(holder("w", "k"), answer("two"))).To(BeTrue())
		_, got, _ := cache.Get("w", "k")
		Expect(string(got.Body)).To(Equal("two"))
	})
})
