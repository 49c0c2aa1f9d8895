package ingress_test

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/ingress"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/settings"
)

var _ = Describe("A request whose header has not arrived", func() {
	It("is refused for lack of room if it gives way, and is not said to be late", func() {
		const connectionBytes, limit = 10_000, 60_000
		account := memory.NewAccount(func() memory.Limits { return memory.Limits{Bytes: limit} }, func(memory.Refusal) {})
		log := logrus.New()
		log.SetOutput(io.Discard)
		server := ingress.New(ingress.Options{
			Settings: settings.Defaults().Callers, Catalog: snapshot, Runner: fakeRunner(nil), Ready: func() error { return nil }, Log: log, Scope: tally.NoopScope,
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = server.Serve(ctx, memory.NewListener(listener, account, memory.Callers, connectionBytes)) }()

		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\n"))
		Expect(err).NotTo(HaveOccurred())
		// Others need the room until the request gives way, which it does once it has been quiet for a while.
		Eventually(func() error {
			other, err := account.Open(memory.Peers, limit-connectionBytes/2, "other", func(*memory.Holder, bool) {})
			other.Close()
			return err
		}, "10s", "50ms").Should(Succeed())
		Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(HavePrefix("HTTP/1.1 429 "))
		Expect(string(answer)).To(ContainSubstring(`"overloaded"`))
	})
})
