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

// paged is a dialect whose lists have pages of one item. The rest of it is not used.
type paged struct{ platform.Dialect }

func (paged) ListPath(_, _, after string) string { return "/list?after=" + after }

func (paged) DecodePage(_, _ string, body []byte) (platform.Page, error) {
	item := platform.Object{Name: string(body), Version: 1}
	return platform.Page{List: platform.List{Version: 1, Items: []platform.Object{item}}, More: string(body) != "9"}, nil
}

// deadlines answers each page with the name after the last, and notes how long it might take.
type deadlines struct {
	at []time.Time
	// refuse are the pages that are refused once by a rate limit.
	refuse map[string]bool
}

func (d *deadlines) RoundTrip(r *http.Request) (*http.Response, error) {
	deadline, ok := r.Context().Deadline()
	Expect(ok).To(BeTrue())
	d.at = append(d.at, deadline)
	if after := r.URL.Query().Get("after"); d.refuse[after] {
		delete(d.refuse, after)
		return &http.Response{StatusCode: http.StatusTooManyRequests, Body: http.NoBody, Request: r}, nil
	}
	next := 0
	_, _ = fmt.Sscan(r.URL.Query().Get("after"), &next)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(fmt.Sprint(next + 1))), Request: r}, nil
}

var _ = Describe("A list of many pages", func() {
	var transport *deadlines
	BeforeEach(func() { transport = &deadlines{refuse: make(map[string]bool)} })
	newClient := func() *platform.Client {
		return platform.NewClient(platform.ClientOptions{BaseURL: "http://192.0.2.1", Transport: transport, Dialect: paged{}, Timeout: time.Hour})
	}

	// Load pattern: hundreds of daemons start and pass the platform's rate together.
	It("goes on at the page that a rate limit refused", func() {
		transport.refuse["3"], transport.refuse["7"] = true, true
		list, err := newClient().List(context.Background(), "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Items).To(HaveLen(9))
		Expect(transport.at).To(HaveLen(11))
	})

	It("fails at once if its first page is refused: the platform may turn this daemon away", func() {
		transport.refuse[""] = true
		_, err := newClient().List(context.Background(), "c", "")
		Expect(platform.ReasonOf(err)).To(Equal(platform.RateLimited))
		Expect(transport.at).To(HaveLen(1))
	})

	// Load pattern: a list of thousands of endpoints is many pages long.
	It("has time for each page, and not for the whole", func() {
		client := newClient()
		list, err := client.List(platform.WithCallTimeout(context.Background(), time.Minute), "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Items).To(HaveLen(9))
		Expect(transport.at).To(HaveLen(9))
		for i := range 8 {
			Expect(transport.at[i+1].After(transport.at[i])).To(BeTrue(), "each page has time of its own")
		}
		Expect(time.Until(transport.at[8])).To(BeNumerically("<=", time.Minute))
		_, err = client.List(context.Background(), "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Until(transport.at[9])).To(BeNumerically(">", 50*time.Minute), "the client's own timeout")
	})
})
