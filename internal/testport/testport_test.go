package testport_test

import (
	"fmt"
	"net"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/testport"
)

// Guards against ports from the ephemeral range: a gateway in the soak test failed to start
// because an outgoing connection had taken its port (soak seed 649, run alongside other tests).
func TestFree(t *testing.T) {
	g := NewWithT(t)
	ports, err := testport.Free(50)
	g.Expect(err).NotTo(HaveOccurred())
	seen := make(map[int]bool)
	for _, port := range ports {
		g.Expect(seen).NotTo(HaveKey(port))
		seen[port] = true
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.9:%d", port))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Close()).To(Succeed())
	}
	var low, high int
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Sscan(string(data), &low, &high)
	g.Expect(err).NotTo(HaveOccurred())
	for _, port := range ports {
		g.Expect(port < low || port > high).To(BeTrue(), "outgoing connections use %d to %d", low, high)
	}
}
