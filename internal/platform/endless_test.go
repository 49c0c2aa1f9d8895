package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// response is a response with a body.
func response(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// endlessPages is a dialect whose lists have a further page after each.
type endlessPages struct{ pagedDialect }

func (endlessPages) DecodePage(_, _ string, body []byte) (platform.Page, error) {
	item := platform.Object{Name: string(body), Version: 1}
	return platform.Page{List: platform.List{Version: 1, Items: []platform.Object{item}}, More: true}, nil
}

var _ = Describe("A platform whose responses have no end", func() {
	const memoryBytes, endless, mostAccepted = 12 << 20, 64 << 20, 16 << 20 // The sockets' buffers take some of it.
	var account *memory.Account
	newClient := func(address string, dialect platform.Dialect) *platform.Client {
		account = memory.NewAccount(func() memory.Limits { return memory.Limits{Bytes: memoryBytes} }, func(memory.Refusal) {})
		return platform.NewClient(platform.ClientOptions{
			BaseURL: "http://" + address, Timeout: 20 * time.Second, Dialect: dialect, Responses: account.NewQuota("platform", memory.PlatformShare),
		})
	}
	AfterEach(func() { Expect(account.Totals().Bytes).To(BeZero(), "held after the call") })

	DescribeTable("is not read to its end",
		func(prefix, unit string) {
			listener, sent, err := rawhttp.Endless(prefix, unit, endless)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			client := newClient(listener.Addr().String(), nil)
			ctx := context.Background()
			calls := map[string]func() error{
				"get":  func() error { _, err := client.Get(ctx, "c", "a"); return err },
				"list": func() error { _, err := client.List(ctx, "c", ""); return err },
				"vms":  func() error { _, err := client.VMs(ctx); return err },
				"update": func() error {
					_, err := client.Update(ctx, platform.Object{Collection: "c", Name: "a", Version: 1})
					return err
				},
				"delete": func() error { return client.Delete(ctx, "c", "a", 1) },
			}
			for name, call := range calls {
				var failed *platform.Error
				Expect(errors.As(call(), &failed)).To(BeTrue(), name)
				want := platform.Unavailable
				if name == "update" || name == "delete" {
					want = platform.Uncertain // It may have taken effect.
				}
				Expect(failed.Reason).To(Equal(want), "%s: %v", name, failed)
				Eventually(sent, 20*time.Second).Should(Receive(BeNumerically("<", mostAccepted)), name)
				Expect(account.Totals().Bytes).To(BeZero(), name)
			}
		},
		Entry("in its head", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n"),
		Entry("in its body", "HTTP/1.1 200 OK\r\n\r\n", "x"),
		Entry("in a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", "x"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"),
		Entry("in blank lines", "HTTP/1.1 200 OK\r\n\r\n", "\n"),
		Entry("in an error", "HTTP/1.1 500 X\r\n\r\n", "x"),
		Entry("in JSON items", "HTTP/1.1 200 OK\r\n\r\n"+`{"resourceVersion":9,"items":[`, "{},"),
	)

	It("has too many small objects", func() {
		for _, body := range []string{
			`{"resourceVersion":9,"items":[` + strings.Repeat("{},", 40_000) + `{}]}`,
			"[" + strings.Repeat("{},", 40_000) + "{}]",
		} {
			listener, err := rawhttp.Listen(func(*http.Request) string { return response(body) })
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			client := newClient(listener.Addr().String(), nil)
			_, err = client.List(context.Background(), "c", "")
			Expect(platform.ReasonOf(err)).To(Equal(platform.Unavailable))
			_, err = client.VMs(context.Background())
			Expect(err).To(HaveOccurred())
		}
	})

	It("has pages without an end", func() {
		pages := 0
		name := strings.Repeat("a", 10_000)
		listener, err := rawhttp.Listen(func(*http.Request) string {
			pages++
			return response(fmt.Sprint(name, pages))
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		_, err = newClient(listener.Addr().String(), endlessPages{}).List(context.Background(), "c", "")
		Expect(err).To(MatchError(memory.ErrNoRoom))
		Expect(pages * len(name)).To(BeNumerically("<", memoryBytes))
	})
})
