package ingress

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// A request that continues without its caller may complete after chunks were lost.
func TestResponseWithLostChunksNeverLooksComplete(t *testing.T) {
	for range 100 {
		server, client := net.Pipe()
		ctx, cancel := context.WithCancel(context.Background())
		response := newStreamedResponse(ctx, cancel, server, time.Second)
		response.Begin(200, "text/plain")
		for range maxQueuedChunks {
			if err := response.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
		}
		cancel()
		if response.Write([]byte("lost")) == nil {
			t.Fatal("the queue took more chunks than it holds")
		}
		response.finish(dispatch.Result{Outcome: failure.Completed, ResponseStarted: true})
		_, err := io.Copy(io.Discard, response)
		if failure.CodeOf(err) != failure.ClientGone {
			t.Fatalf("a truncated response ended with %v", err)
		}
		_, _ = server.Close(), client.Close()
	}
}
