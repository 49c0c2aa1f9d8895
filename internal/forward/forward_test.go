package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

var _ = Describe("Handle", func() {
	names := headers.Default()

	Describe("what reaches an endpoint", func() {
		It("is the caller's request, without its key and with the daemon's own fields", func() {
			e := newEndpoint(ok("fine"))
			w := newWorld(spec(), e)
			r := w.call("/unsafe/x?q=1", "Hold", "stolen", names.Workspace, "forged", names.Endpoint, "forged", "X-Other", "kept",
				"Connection", "X-Hop", "X-Hop", "1")
			Expect(r.StatusCode).To(Equal(http.StatusOK))
			Expect(r.Header.Get("Seal")).To(Equal("s"))
			seen := e.seen()[0]
			Expect(seen.URL.String()).To(Equal("/unsafe/x?q=1"))
			Expect(seen.Host).To(Equal("h"))
			Expect(seen.Header.Values(names.Workspace)).To(Equal([]string{"acme"}))
			Expect(seen.Header.Values(names.Endpoint)).To(Equal([]string{"e0"}))
			Expect(seen.Header.Get("X-Other")).To(Equal("kept"))
			for _, gone := range []string{"Hold", names.Key, "X-Hop"} {
				Expect(seen.Header).NotTo(HaveKey(http.CanonicalHeaderKey(gone)))
			}
			left, err := strconv.Atoi(seen.Header.Get(names.Deadline))
			Expect(err).NotTo(HaveOccurred())
			Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 3000)))
		})
	})

	DescribeTable("what the daemon refuses by itself",
		func(path, key string, status int) {
			e := newEndpoint(ok("fine"))
			w := newWorld(spec(), e)
			r := w.call(path, names.Key, key)
			Expect(r.StatusCode).To(Equal(status))
			Expect(r.Header).NotTo(HaveKey("Seal"))
			Expect(e.seen()).To(BeEmpty())
		},
		Entry("an unknown path", "/nowhere/", "key", http.StatusNotFound),
		Entry("an unknown key", "/safe/x", "nokey", http.StatusUnauthorized),
	)

	It("needs no key on an anonymous route", func() {
		w := newWorld(spec(), newEndpoint(ok("fine")))
		Expect(w.call("/open/x", names.Key, "").StatusCode).To(Equal(http.StatusOK))
	})

	It("answers 503 while it knows no configuration, never 401 or 404", func() {
		w := newWorld(spec())
		w.table = nil
		r := w.call("/nowhere/", names.Key, "nokey")
		Expect(r.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("runs nothing that comes when the daemon takes no more requests, and sends callers elsewhere at once", func() {
		e := newEndpoint(ok("fine"))
		w := newWorld(spec(), e)
		w.closing.Store(true)
		r := w.call("/unsafe/x")
		Expect(r.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(r.Header.Get("Retry-After")).To(Equal("0.050"))
		Expect(e.seen()).To(BeEmpty())
	})

	Describe("work that may not be repeated", func() {
		It("is not sent again once it was sent, and is not called not run", func() {
			first, second := newEndpoint(hangUp), newEndpoint(hangUp)
			w := newWorld(spec(), first, second)
			Expect(w.call("/unsafe/x").StatusCode).To(Equal(http.StatusBadGateway))
			Expect(len(first.seen()) + len(second.seen())).To(Equal(1))
		})

		It("goes elsewhere when the endpoint says that it has not run it", func() {
			first, second := newEndpoint(refuse()), newEndpoint(refuse())
			w := newWorld(spec(), first, second)
			r := w.call("/unsafe/x")
			Expect(r.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(len(first.seen()) + len(second.seen())).To(Equal(2))
		})

		It("goes elsewhere when no connection could be made", func() {
			gone, alive := newEndpoint(hangUp), newEndpoint(ok("fine"))
			Expect(gone.listener.Close()).To(Succeed())
			w := newWorld(spec(), gone, alive)
			for range 6 {
				Expect(w.call("/unsafe/x").StatusCode).To(Equal(http.StatusOK))
			}
		})

		It("goes elsewhere when another endpoint has the address", func() {
			stranger, right := newEndpoint(reply(421, "", "")), newEndpoint(ok("fine"))
			w := newWorld(spec(), stranger, right)
			for range 6 {
				Expect(w.call("/unsafe/x").StatusCode).To(Equal(http.StatusOK))
			}
			Expect(len(stranger.seen())).To(BeNumerically("<=", 1))
		})

		DescribeTable("an endpoint's status that would promise too much is not passed on",
			func(status int) {
				w := newWorld(spec(), newEndpoint(reply(status, sealed, "")))
				r := w.call("/unsafe/x")
				Expect(r.StatusCode).To(Equal(http.StatusBadGateway))
				Expect(r.Header).NotTo(HaveKey("Seal"))
			},
			Entry("503 without its word", 503), Entry("429 without its word", 429), Entry("408 without its word", 408),
		)
	})

	Describe("idempotent work", func() {
		It("is tried at another endpoint after a break, but not at a third", func() {
			ends := []*fakeEndpoint{newEndpoint(hangUp), newEndpoint(hangUp), newEndpoint(hangUp)}
			w := newWorld(spec(), ends...)
			Expect(w.call("/safe/x").StatusCode).To(Equal(http.StatusBadGateway))
			Expect(len(ends[0].seen()) + len(ends[1].seen()) + len(ends[2].seen())).To(Equal(2))
		})

		It("gets the endpoint's own failure if no other does better", func() {
			w := newWorld(spec(), newEndpoint(reply(500, sealed, "broken")), newEndpoint(reply(500, sealed, "broken")))
			r := w.call("/safe/x")
			Expect(r.StatusCode).To(Equal(500))
			Expect(r.Header.Get("Seal")).To(Equal("s"))
			body, _ := text(r)
			Expect(body).To(Equal("broken"))
		})

		It("is not repeated beyond the budget", func() {
			ends := []*fakeEndpoint{newEndpoint(hangUp), newEndpoint(hangUp)}
			w := newWorld(spec(), ends...)
			for range 300 {
				w.call("/safe/x")
			}
			Expect(len(ends[0].seen()) + len(ends[1].seen())).To(BeNumerically("<=", 300+50+60))
		})
	})

	DescribeTable("what is not a success of an endpoint does not pass for one",
		func(s script) {
			w := newWorld(spec(), newEndpoint(s))
			r := w.call("/unsafe/x")
			if r == nil {
				return // The connection was closed: nothing looks complete.
			}
			Expect(r.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(r.Header).NotTo(HaveKey("Seal"))
		},
		Entry("without a seal", reply(200, "", "fine")),
		Entry("with an encoded body", reply(200, sealed+"Content-Encoding: gzip\r\n", "fine")),
		Entry("half a body", script(func(r *http.Request, _ string, conn net.Conn) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: id-1\r\n%sContent-Length: 10\r\n\r\nhalf", idField, sealed)
			return false
		})),
		Entry("no answer of the protocol", script(func(_ *http.Request, _ string, conn net.Conn) bool {
			fmt.Fprintf(conn, "hello\r\n\r\n")
			return false
		})),
		Entry("an answer to another request only", script(func(_ *http.Request, _ string, conn net.Conn) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other\r\n%sContent-Length: 4\r\n\r\nfine", idField, sealed)
			return false
		})),
	)

	It("finds its own answer behind a late one to an earlier request", func() {
		e := newEndpoint(func(r *http.Request, _ string, conn net.Conn) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: earlier\r\n%sContent-Length: 5\r\n\r\nwrong", idField, sealed)
			return ok("right")(r, "", conn)
		})
		r := newWorld(spec(), e).call("/unsafe/x")
		body, _ := text(r)
		Expect(body).To(Equal("right"))
	})

	It("takes an answer that ends with its connection, unless it is reset", func() {
		answer := func(reset bool) script {
			return func(_ *http.Request, _ string, conn net.Conn) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: id-1\r\n%sConnection: close\r\n\r\nfine", idField, sealed)
				if reset {
					time.Sleep(50 * time.Millisecond)
					Expect(conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
				}
				return false
			}
		}
		r := newWorld(spec(), newEndpoint(answer(false))).call("/unsafe/x")
		body, _ := text(r)
		Expect(body).To(Equal("fine"))
		Expect(newWorld(spec(), newEndpoint(answer(true))).call("/unsafe/x").StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("does not reuse a connection on which bytes came after an answer", func() {
		var late sync.WaitGroup
		e := newEndpoint(func(r *http.Request, _ string, conn net.Conn) bool {
			ok("fine")(r, "", conn)
			late.Go(func() { ok("again")(r, "", conn) })
			return true
		})
		w := newWorld(spec(), e)
		for i := range 3 {
			body, _ := text(w.call("/unsafe/x", idField, fmt.Sprint("id-", i)))
			Expect(body).To(Equal("fine"))
			late.Wait()
		}
		Expect(e.acceptedConns()).To(Equal(3), "one request to a connection")
	})

	// The bytes come only when the connection has been taken for the next request: a caller
	// that sends an id again must not be given a second answer to its first request.
	It("does not send one id twice over a connection", func() {
		var mu sync.Mutex
		before := make(map[net.Conn]*http.Request)
		e := newEndpoint(func(r *http.Request, _ string, conn net.Conn) bool {
			mu.Lock()
			earlier := before[conn]
			before[conn] = r
			mu.Unlock()
			if earlier != nil {
				ok("again")(earlier, "", conn)
			}
			return ok("fine")(r, "", conn)
		})
		w := newWorld(spec(), e)
		for _, id := range []string{"id-1", "id-1", "id-2"} {
			body, _ := text(w.call("/unsafe/x", idField, id))
			Expect(body).To(Equal("fine"))
		}
	})

	Describe("streams", func() {
		whole := event(1) + event(2) + event(3)

		It("pass whole, with their end", func() {
			r := newWorld(spec(), newEndpoint(streamOf(true, "", 1, 2, 3))).call("/stream/x")
			body, complete := text(r)
			Expect(body).To(Equal(whole))
			Expect(complete).To(BeTrue())
			Expect(r.Header.Get("Seal")).To(Equal("s"))
		})

		It("that break off never look complete, and are not run again", func() {
			first, second := newEndpoint(streamOf(false, "", 1, 2)), newEndpoint(streamOf(false, "", 1, 2))
			r := newWorld(spec(), first, second).call("/stream/x")
			body, complete := text(r)
			Expect(whole).To(HavePrefix(body))
			Expect(complete).To(BeFalse())
			Expect(len(first.seen()) + len(second.seen())).To(Equal(1))
		})

		It("that may be resumed go on elsewhere after their last whole event", func() {
			resume := func(r *http.Request, _ string, conn net.Conn) bool {
				if r.Header.Get("Last-Event-Id") == "" {
					return streamOf(false, "id: 3\nda", 1, 2)(r, "", conn)
				}
				Expect(r.Header.Get("Last-Event-Id")).To(Equal("2"))
				return streamOf(true, "", 3)(r, "", conn)
			}
			r := newWorld(spec(), newEndpoint(resume), newEndpoint(resume)).call("/resume/x")
			body, complete := text(r)
			Expect(body).To(Equal(whole))
			Expect(complete).To(BeTrue())
		})

		It("stop at the endpoint when the caller leaves", func() {
			e := newEndpoint(func(r *http.Request, _ string, conn net.Conn) bool {
				streamOf(false, "", 1)(r, "", conn)
				_, err := conn.Read(make([]byte, 1)) // Until the other side closes.
				return err == nil
			})
			w := newWorld(spec(), e)
			ctx, leave := context.WithCancel(context.Background())
			r := w.callWith(ctx, "/stream/x")
			Expect(r.StatusCode).To(Equal(http.StatusOK))
			leave()
			Eventually(e.closedConns, 5*time.Second).Should(Equal(1))
			Eventually(w.server.Active).Should(BeZero())
		})
	})

	It("stops work that waits for an answer when the caller leaves, and sends nothing more", func() {
		silent := func(_ *http.Request, _ string, conn net.Conn) bool {
			_, err := conn.Read(make([]byte, 1))
			return err == nil
		}
		ends := []*fakeEndpoint{newEndpoint(silent), newEndpoint(silent)}
		w := newWorld(spec(), ends...)
		ctx, leave := context.WithCancel(context.Background())
		go w.callWith(ctx, "/safe/x")
		sent := func() int { return len(ends[0].seen()) + len(ends[1].seen()) }
		Eventually(sent).Should(Equal(1))
		leave()
		Eventually(func() int { return ends[0].closedConns() + ends[1].closedConns() }, 5*time.Second).Should(Equal(1))
		Eventually(w.server.Active).Should(BeZero())
		Expect(sent()).To(Equal(1))
	})

	It("answers 504 when the route's time is over", func() {
		s := spec()
		s.Routes[1].Timeout = 200 * time.Millisecond
		e := newEndpoint(func(_ *http.Request, _ string, conn net.Conn) bool {
			_, err := conn.Read(make([]byte, 1))
			return err == nil
		})
		Expect(newWorld(s, e).call("/unsafe/x").StatusCode).To(Equal(http.StatusGatewayTimeout))
	})

	It("gives a workspace's priority precedence over the route's", func() {
		s := spec()
		s.Routes[0].PromptAffinity, s.Routes[1].PromptAffinity = true, true
		urgent := 0
		s.Workspaces = append(s.Workspaces, routetable.Workspace{Name: "urgent", Keys: []string{"u"}, Priority: &urgent})
		e := newEndpoint(ok("fine"))
		w := newWorld(s, e)
		w.call("/unsafe/x")
		w.call("/unsafe/x", names.Key, "u", names.Priority, "9")
		Expect(e.seen()[0].Header.Values(names.Priority)).To(Equal([]string{"1"}), "second of the two ranks of this table")
		Expect(e.seen()[1].Header.Values(names.Priority)).To(Equal([]string{"0"}), "the caller's own field is not passed on")
	})

	It("passes a long body on unchanged, and survives an answer before its end", func() {
		long := strings.Repeat("x", 400<<10)
		var got string
		e := newEndpoint(func(r *http.Request, body string, conn net.Conn) bool {
			got = body
			return ok("fine")(r, "", conn)
		})
		w := newWorld(spec(), e)
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+w.address+"/unsafe/x", strings.NewReader(long))
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header.Set(idField, "id-1")
		r.Header.Set(names.Key, "key")
		response, err := http.DefaultTransport.RoundTrip(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(got == long).To(BeTrue())
	})

	// Load pattern: more prompts than the engines read; a newcomer would be hopelessly late.
	It("refuses at once what would wait for far longer than its target", func() {
		sp := spec()
		sp.Routes[1].Target = time.Second
		e := newEndpoint(ok("fine"))
		w := newWorld(sp, e)
		now := time.Now()
		c := w.pool.Pick(now, balance.Request{PromptTokens: 20000})
		c.ResponseStarted(now.Add(100 * time.Millisecond))
		for range 30 {
			w.pool.Pick(now, balance.Request{PromptTokens: 20000}) // As urgent as the request below.
		}
		r := w.call("/unsafe/x", names.PromptSize, "1000,10")
		Expect(r.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(e.seen()).To(BeEmpty(), "not run is true")
	})

	// Load pattern: the same backlog before requests of a short and of a long target.
	It("does not refuse a more urgent request while it takes a less urgent one", func() {
		sp := spec()
		sp.Routes[0].Target, sp.Routes[0].Priority = time.Second, 1
		sp.Routes[1].Target, sp.Routes[1].Priority = 10*time.Second, 2
		e := newEndpoint(ok("fine"))
		w := newWorld(sp, e)
		c := w.pool.Pick(time.Now(), balance.Request{PromptTokens: 20000})
		c.ResponseStarted(time.Now().Add(100 * time.Millisecond))
		for range 50 {
			w.pool.Pick(time.Now(), balance.Request{PromptTokens: 20000})
		}
		Expect(w.call("/unsafe/x", names.PromptSize, "1000,10").StatusCode).To(Equal(http.StatusOK))
		Expect(w.call("/safe/x", names.PromptSize, "1000,10").StatusCode).To(Equal(http.StatusOK))
	})

	// Load pattern: a request that crashes each endpoint that runs it comes again and again.
	It("holds content back after it crashed three endpoints, and no other content", func() {
		var ends []*fakeEndpoint
		for range 6 {
			var e *fakeEndpoint
			e = newEndpoint(func(r *http.Request, _ string, conn net.Conn) bool {
				if r.Header.Get("X-Poison") == "" {
					return ok("fine")(r, "", conn)
				}
				_ = e.listener.Close()
				return false
			})
			ends = append(ends, e)
		}
		w := newWorld(spec(), ends...)
		crashed := func() int {
			n := 0
			for _, e := range ends {
				for _, r := range e.seen() {
					if r.Header.Get("X-Poison") != "" {
						n++
					}
				}
			}
			return n
		}
		Eventually(func() int {
			return w.call("/unsafe/poison", "X-Poison", "1").StatusCode
		}, 20*time.Second).Should(Equal(http.StatusServiceUnavailable))
		Expect(crashed()).To(Equal(3))
		Expect(w.call("/unsafe/other").StatusCode).To(Equal(http.StatusOK))
	})

	// Load pattern: endpoints crash for a reason of their own under content that everybody sends.
	It("serves content again that completed before endpoints crashed under it", func() {
		var crashes atomic.Int32
		var ends []*fakeEndpoint
		for range 6 {
			var e *fakeEndpoint
			e = newEndpoint(func(r *http.Request, _ string, conn net.Conn) bool {
				if crashes.Add(-1) < 0 {
					return ok("fine")(r, "", conn)
				}
				_ = e.listener.Close()
				return false
			})
			ends = append(ends, e)
		}
		w := newWorld(spec(), ends...)
		Expect(w.call("/unsafe/shared").StatusCode).To(Equal(http.StatusOK))
		crashes.Store(3)
		status := func() int { return w.call("/unsafe/shared").StatusCode }
		Eventually(status, 20*time.Second).Should(Equal(http.StatusServiceUnavailable))
		Eventually(status, 20*time.Second).Should(Equal(http.StatusOK))
		Expect(status()).To(Equal(http.StatusOK), "the answer lifted the block")
	})

	It("does not take lost answers for crashes", func() {
		e := newEndpoint(hangUp)
		w := newWorld(spec(), e)
		for range 12 {
			Expect(w.call("/unsafe/x").StatusCode).To(Equal(http.StatusBadGateway))
		}
	})
})
