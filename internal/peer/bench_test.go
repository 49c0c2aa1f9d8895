package peer_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/primrosewell/primrosewell/internal/peer"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const benchKey = "shared-key-for-the-bench"

// grantingPools grants every permit request at once.
type grantingPools struct{}

func (grantingPools) AcquireFor(_ context.Context, request routing.PermitRequest) (routing.Grant, error) {
	return routing.Grant{AttemptID: request.ID}, nil
}

func (grantingPools) ReleaseFor(context.Context, []routing.Report) error { return nil }

func (grantingPools) ProgressFor(context.Context, string, string, []routing.Progress) error {
	return nil
}

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPermit reports the processor time of one permit over the peer protocol: permit
// request, grant and release, client and server together. Calls run in parallel, which
// leaves out the processor time in which an idle scheduler searches for work.
func BenchmarkPermit(b *testing.B) {
	server := peer.NewServer(peer.ServerOptions{Key: benchKey, Handlers: peer.Handlers{Pools: grantingPools{}}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client := peer.NewClient(peer.ClientOptions{Key: benchKey})
	defer client.Close()
	address := listener.Addr().String()
	request := routing.PermitRequest{ID: "a", RequestID: "r", Pool: "bulletin-llm", Workspace: "w", Prefix: make([]uint64, 16)}
	b.ResetTimer()
	start := processorTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := client.Acquire(context.Background(), address, request); err != nil {
				b.Error(err)
			}
			if err := client.Release(context.Background(), address, []routing.Report{{AttemptID: "a", Pool: "bulletin-llm"}}); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(b.N), "cpu-µs/op")
}
