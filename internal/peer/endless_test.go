package peer_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/peer"
)

// Load pattern: a peer in trouble answers many calls at once with bytes without end.
func TestEndlessResponsesOfAPeerAreCutOff(t *testing.T) {
	const calls, accountBytes = 30, 12 << 20
	for name, respond := range map[string]func(w http.ResponseWriter, r *http.Request){
		"body": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			for data := make([]byte, 64<<10); r.Context().Err() == nil; {
				if _, err := w.Write(data); err != nil {
					return
				}
			}
		},
		"head": func(w http.ResponseWriter, _ *http.Request) {
			for range 2_000 {
				w.Header().Add("X-A", strings.Repeat("a", 1000))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var protocols http.Protocols
			protocols.SetUnencryptedHTTP2(true)
			server := &http.Server{Handler: http.HandlerFunc(respond), Protocols: &protocols}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			account := memory.NewAccount(func() memory.Limits { return memory.Limits{Bytes: accountBytes} }, func(memory.Refusal) {})
			client := peer.NewClient(peer.ClientOptions{Key: "k", Responses: account.NewQuota("peers", memory.PeersShare)})
			defer client.Close()
			failures := make(chan error, calls)
			for range calls {
				go func() {
					_, err := client.Status(context.Background(), listener.Addr().String())
					failures <- err
				}()
			}
			most := int64(0)
			for ended := 0; ended < calls; {
				select {
				case err := <-failures:
					ended++
					if err == nil {
						t.Fatal("a response without an end was accepted")
					}
				case <-time.After(time.Millisecond):
				}
				most = max(most, account.Totals().Bytes)
			}
			if most > accountBytes/memory.PeersShare {
				t.Fatalf("%d bytes were held", most)
			}
			if held := account.Totals().Bytes; held != 0 {
				t.Fatalf("%d bytes are held after the end", held)
			}
		})
	}
}
