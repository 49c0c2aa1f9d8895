package endpoint_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

func TestEndpoint(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Endpoint")
}

type standinServer interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// serve runs a stand-in on loopback until the spec ends.
func serve(s standinServer) catalog.Endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, ln)
	}()
	DeferCleanup(func() { stop(); <-done })
	return catalog.Endpoint{Name: "e1", Service: "s", Address: ln.Addr().String()}
}
