package platform_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// pagedDialect is a dialect whose lists have pages of one item. Its other methods are not used.
type pagedDialect struct{ platform.Dialect }

func (pagedDialect) ListPath(_, _, after string) string { return "/list?after=" + after }

func (pagedDialect) DecodePage(_, _ string, body []byte) (platform.Page, error) {
	item := platform.Object{Name: string(body), Version: 1}
	return platform.Page{List: platform.List{Version: 1, Items: []platform.Object{item}}, More: string(body) != "9"}, nil
}

// pageTransport responds to each page request with the number after the last item's, and records
// the deadline of each request.
type pageTransport struct {
	deadlines []time.Time
	// rateLimitOnce holds the pages, by the name that they follow, whose first request is refused by
	// a rate limit.
	rateLimitOnce map[string]bool
}

func (d *pageTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	deadline, ok := r.Context().Deadline()
	Expect(ok).To(BeTrue())
	d.deadlines = append(d.deadlines, deadline)
	if after := r.URL.Query().Get("after"); d.rateLimitOnce[after] {
		delete(d.rateLimitOnce, after)
		return &http.Response{StatusCode: http.StatusTooManyRequests, Body: http.NoBody, Request: r}, nil
	}
	next := 0
	_, _ = fmt.Sscan(r.URL.Query().Get("after"), &next)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(fmt.Sprint(next + 1))), Request: r}, nil
}

var _ = Describe("A list of many pages", func() {
	var transport *pageTransport
	BeforeEach(func() { transport = &pageTransport{rateLimitOnce: make(map[string]bool)} })
	newClient := func() *platform.Client {
		return platform.NewClient(platform.ClientOptions{BaseURL: "http://192.0.2.1", Transport: transport, Dialect: pagedDialect{}, Timeout: time.Hour})
	}

	// Load pattern: hundreds of daemons start at once and together exceed the platform's rate limit.
	It("goes on at the page that a rate limit refused", func() {
		transport.rateLimitOnce["3"], transport.rateLimitOnce["7"] = true, true
		list, err := newClient().List(context.Background(), "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Items).To(HaveLen(9))
		Expect(transport.deadlines).To(HaveLen(11))
	})

	It("fails at once if a rate limit refuses its first page, since the platform may be rejecting this daemon", func() {
		transport.rateLimitOnce[""] = true
		_, err := newClient().List(context.Background(), "c", "")
		Expect(platform.ReasonOf(err)).To(Equal(platform.RateLimited))
		Expect(transport.deadlines).To(HaveLen(1))
	})

	// Load pattern: a list of thousands of endpoints is many pages long.
	It("applies the timeout to each page, not to the complete list", func() {
		client := newClient()
		list, err := client.List(platform.WithCallTimeout(context.Background(), time.Minute), "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Items).To(HaveLen(9))
		Expect(transport.deadlines).To(HaveLen(9))
		for i := range 8 {
			Expect(transport.deadlines[i+1].After(transport.deadlines[i])).To(BeTrue(), "each page has its own deadline")
		}
		Expect(time.Until(transport.deadlines[8])).To(BeNumerically("<=", time.Minute))
		_, err = client.List(context.Background(), "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Until(transport.deadlines[9])).To(BeNumerically(">", 50*time.Minute), "the client's own timeout")
	})
})
