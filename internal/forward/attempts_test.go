package forward_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The endpoints break off, fail, refuse or send what is no part of the stream, in any order.
var _ = Describe("A resumable stream over several endpoints", func() {
	const runs, attempts, pieces = 400, 4, 4

	piece := func(n int, newline string) string {
		lines := []string{fmt.Sprint("id: ", n), fmt.Sprint("data: piece ", n), "", ""}
		if n == 3 {
			lines = append([]string{"weight-versions: 4"}, lines...)
		}
		return strings.Join(lines, newline)
	}

	It("reaches the caller as a part of the stream, and as complete only if it is whole", func() {
		for run := range runs {
			random := rand.New(rand.NewPCG(1, uint64(run)))
			newline := []string{"\n", "\r\n"}[random.IntN(2)]
			var whole string
			for n := 1; n <= pieces; n++ {
				whole += piece(n, newline)
			}
			var mu sync.Mutex
			var history []string
			answer := func(r *http.Request, _ string, conn net.Conn) bool {
				mu.Lock()
				defer mu.Unlock()
				kind, framed, signed, repeated := random.IntN(9), random.IntN(3) > 0, random.IntN(8) > 0, random.IntN(3)
				last := 0
				_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
				var rest string
				for n := max(1, last+1-repeated); n <= pieces; n++ {
					if random.IntN(3) == 0 {
						rest += ": alive" + newline + newline
					}
					rest += piece(n, newline)
				}
				cut := len(rest)
				if kind < 4 {
					cut = random.IntN(len(rest) + 1)
				}
				// A closed connection ends an unframed stream, so that one which closes between events is whole.
				framed = framed || strings.HasSuffix(rest[:cut], newline+newline) && cut < len(rest) || cut == 0
				history = append(history, fmt.Sprint(kind, framed, signed, repeated, cut, "/", len(rest), " after ", last))
				fields := "Content-Type: text/event-stream\r\n"
				if signed {
					fields += signatureField
				}
				switch kind {
				case 5:
					return reply([]int{500, 503, 404, 429}[random.IntN(4)], signatureField, "failed")(r, "", conn)
				case 6:
					return ok("no stream")(r, "", conn)
				case 7:
					return refuseNotRun()(r, "", conn)
				case 8:
					_, _ = io.WriteString(conn, "id: 9\ndata: garbage\n\n")
					return false
				}
				id := requestIDField + ": " + r.Header.Get(requestIDField) + "\r\n"
				if random.IntN(4) == 0 {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other\r\n%sContent-Length: 5\r\n\r\nother", requestIDField, fields)
				}
				if !framed {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sConnection: close\r\n\r\n%s", id, fields, rest[:cut])
					return false
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sTransfer-Encoding: chunked\r\n\r\n", id, fields)
				for from := 0; from < cut; {
					n := min(1+random.IntN(20), cut-from)
					fmt.Fprintf(conn, "%x\r\n%s\r\n", n, rest[from:from+n])
					from += n
				}
				if kind == 4 || kind < 4 && cut == len(rest) && random.IntN(2) == 0 {
					_, _ = io.WriteString(conn, "0\r\n\r\n")
					return true
				}
				return false
			}
			table := spec()
			table.Routes[3].MaxAttempts = attempts
			var endpoints []*fakeEndpoint
			for range attempts {
				endpoints = append(endpoints, newEndpoint(answer))
			}
			raw := newFixture(table, endpoints...).rawCall("/resume/x")
			mu.Lock()
			note := fmt.Sprintf("run %d: %q\n%s", run, history, raw)
			mu.Unlock()
			Expect(strings.Count(raw, "HTTP/1.1 ")).To(Equal(1), note)
			r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader([]byte(raw))), nil)
			Expect(err).NotTo(HaveOccurred(), note)
			if r.StatusCode != http.StatusOK || !strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
				continue
			}
			body, complete := readBody(r)
			body = strings.ReplaceAll(body, ": alive"+newline+newline, "")
			Expect(whole).To(HavePrefix(body), note)
			if complete {
				Expect(body).To(Equal(whole), note)
			}
		}
	})
})
