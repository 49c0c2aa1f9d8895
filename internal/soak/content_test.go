package soak_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/soak"
)

var _ = Describe("ParseStream", func() {
	const first, second = "id: 1\ndata: event 1 of e0 as r\n\n", "id: 2\ndata: event 2 of e1 as r\n\n"

	It("names the versions of the endpoints", func() {
		const events = "id: 1\ndata: event 1 of e0 v1 as r\n\nid: 2\ndata: event 2 of e1 v2 as r\n\nid: 3\ndata: event 3 of e0 v1 as r\n\n"
		Expect(soak.ParseStream(events, "r", 0, 3, true)).To(Equal(soak.Stream{
			Events: 3, Endpoints: []string{"e0", "e1"}, Versions: []string{"v1", "v2"},
		}))
	})

	It("accepts a complete stream and each incomplete part of it", func() {
		Expect(soak.ParseStream(first+second, "r", 0, 2, true)).To(Equal(soak.Stream{Events: 2, Endpoints: []string{"e0", "e1"}}))
		for n := range len(first + second) {
			Expect(soak.ParseStream((first + second)[:n], "r", 0, 2, false).Error).To(BeEmpty(), "%d bytes", n)
		}
		Expect(soak.ParseStream(second, "r", 1, 2, true).Error).To(BeEmpty())
	})

	DescribeTable("reports", func(text, body string, complete bool) {
		Expect(soak.ParseStream(body, "r", 0, 2, complete).Error).To(ContainSubstring(text))
	},
		Entry("a stream that is complete before its last event", "complete before event 2", first, true),
		Entry("a stream that is complete within an event", "ends within event 2", first+second[:9], true),
		Entry("an event joined to the part of another", "not an event of an endpoint", "id: 1\nda"+first+second, true),
		Entry("an event that comes twice", "event 1 where 2", first+first, false),
		Entry("a missing event", "event 2 where 1", second, false),
		Entry("an event after the last one", "event 3 where 3 of 2", first+second+"id: 3\ndata: event 3 of e0 as r\n\n", true),
		Entry("an event of another request", "an event of another request", "id: 1\ndata: event 1 of e0 as x\n\n", false),
		Entry("a part of an event of another request", "not a part of event 1", "id: 1\ndata: event 1 of e0 as x", false),
		Entry("other bytes", "not a part of event 2", first+"HTTP/1.1 200 OK", false),
	)

	DescribeTable("PlainError", func(body string, complete, accepted bool) {
		Expect(soak.PlainError(body, "r", "GET", "/i/1", "acme", complete) == "").To(Equal(accepted))
	},
		Entry("accepts the whole body", "e0 ran GET /i/1 for acme as r\n", true, true),
		Entry("accepts a part of an incomplete body", "e0 ran GET /i", false, true),
		Entry("accepts an incomplete body without a byte", "", false, true),
		Entry("reports a part of a complete body", "e0 ran GET /i", true, false),
		Entry("reports a complete body without a byte", "", true, false),
		Entry("reports the body of another request", "e0 ran GET /i/1 for acme as x\n", true, false),
		Entry("reports a body of another path", "e0 ran GET /o/1 for acme as r\n", true, false),
		Entry("reports bytes after the body", "e0 ran GET /i/1 for acme as r\n0\r\n", true, false),
	)
})
