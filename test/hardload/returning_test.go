//go:build hardload

package hardload_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The clients are fixed: a change of the product must not thin them out.
const (
	// returningClients send a body of returningBytes without its end, stay for returningStay or until
	// they are refused, close and come again, for returningTime.
	returningClients, returningBytes = 150, 3_900_000
	returningStay, returningTime     = 200 * time.Millisecond, 12 * time.Second
	// engineClients send whole calls of an engine with a message of engineBytes, and come again.
	engineClients, engineBytes = 60, 3_900_000
)

// sendReturning lets clients come again and again until returningTime has passed. Each sends a request.
func sendReturning(t target, clients int, sendRequest func(send func([]byte) error) error) {
	end := time.Now().Add(returningTime)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp4", t.callers, patience)
				if err != nil {
					continue // Refused, which is allowed.
				}
				_ = conn.SetDeadline(time.Now().Add(patience))
				send := func(data []byte) error {
					_, err := conn.Write(data)
					return err
				}
				if sendRequest(send) == nil {
					_ = conn.SetReadDeadline(time.Now().Add(returningStay))
					_, _ = io.Copy(io.Discard, conn) // Ends with returningStay, or behind a refusal.
				}
				_ = conn.Close()
			}
		})
	}
	group.Wait()
}

// unended sends a body without its end.
func unended(t target) func(send func([]byte) error) error {
	return func(send func([]byte) error) error {
		if err := send([]byte(t.requestTo(t.path) + chunked)); err != nil {
			return err
		}
		return chunks(returningBytes, 16_000)(send)
	}
}

// sendOrdinary sends ordinary requests, one at a time, until stop is closed.
func sendOrdinary(t target, stop chan struct{}) (answers []answer) {
	for {
		select {
		case <-stop:
			return answers
		default:
			answers = append(answers, t.ordinary())
		}
	}
}

// describeWrong returns what a caller that keeps to the limits can't act on, or "": the connection ended
// without an answer, or the answer is neither a success nor a refusal for lack of room that names the request.
func (a answer) describeWrong(knownID string) string {
	switch {
	case a.err != nil:
		return fmt.Sprintf("%s: status %d, %v", a.id, a.status, a.err)
	case a.status == http.StatusOK:
		return ""
	case a.status != http.StatusTooManyRequests || !strings.Contains(a.body, `"overloaded"`):
		return fmt.Sprintf("%s: status %d, %s", a.id, a.status, a.body)
	case !strings.Contains(a.body, knownID):
		return fmt.Sprintf("%s: the refusal does not name it: %s", a.id, a.body)
	}
	return ""
}

var _ = Describe("Clients that come back at once", func() {
	for name, start := range programs {
		Describe("before "+name, func() {
			// Guards against memory that has been given back, is not collected yet and is given out again.
			It("send bodies that never end", func() {
				t := start(fewDescriptors)
				sendReturning(t, returningClients, unended(t))
				t.awaitOrdinary()
				t.expectBounded()
			})

			// Guards against connections that are closed with bytes unread, which loses the answer, and
			// against answers that name another cause or another request.
			It("send bodies that never end, and each ordinary request is answered", func() {
				t := start(fewDescriptors)
				stop, answered := make(chan struct{}), make(chan []answer, 1)
				go func() { answered <- sendOrdinary(t, stop) }()
				sendReturning(t, returningClients, unended(t))
				close(stop)
				var wrong []string
				statuses := map[int]int{}
				for _, a := range <-answered {
					statuses[a.status]++
					id := a.id
					if name == "serve" {
						id = `"request_id":"` // serve assigns the ids.
					}
					if text := a.describeWrong(id); text != "" {
						wrong = append(wrong, text)
					}
				}
				fmt.Printf("%s: statuses %v\n", CurrentSpecReport().FullText(), statuses)
				Expect(wrong).To(BeEmpty())
				t.expectBounded()
			})
		})
	}

	// Guards against what parsing a body takes beside the body. Only serve parses bodies.
	It("send whole calls of an engine before serve", func() {
		t := startServe(fewDescriptors)
		call := []byte(`{"model":"none","messages":["` + strings.Repeat("a", engineBytes) + `"]}`)
		sendReturning(t, engineClients, func(send func([]byte) error) error {
			if err := send([]byte(t.requestTo("/v1/chat/completions") + announced(len(call)))); err != nil {
				return err
			}
			return send(call)
		})
		t.awaitOrdinary()
		t.expectBounded()
	})
})
