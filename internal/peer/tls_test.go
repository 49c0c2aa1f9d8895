package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/peer"
)

// newCertificate returns a self-signed loopback certificate for client and server, and a
// pool with it.
func newCertificate() (tls.Certificate, *x509.CertPool) {
	GinkgoHelper()
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der := must(x509.CreateCertificate(rand.Reader, template, template, key.Public(), key))
	pool := x509.NewCertPool()
	pool.AddCert(must(x509.ParseCertificate(der)))
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

var _ = Describe("Mutual TLS", func() {
	It("accepts a daemon with a trusted certificate, and no other", func() {
		ours, trusted := newCertificate()
		theirs, _ := newCertificate()
		listener := must(net.Listen("tcp", "127.0.0.1:0"))
		server := peer.NewServer(peer.ServerOptions{
			Key: "k", Handlers: peer.Handlers{Pools: &echoHandler{}},
			TLS: &tls.Config{Certificates: []tls.Certificate{ours}, ClientCAs: trusted, ClientAuth: tls.RequireAndVerifyClientCert},
		})
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		acquire := func(certificates ...tls.Certificate) error {
			client := peer.NewClient(peer.ClientOptions{Key: "k", TLS: &tls.Config{RootCAs: trusted, Certificates: certificates}})
			defer client.Close()
			_, err := client.Acquire(context.Background(), listener.Addr().String(), fullRequest)
			return err
		}
		Expect(acquire(ours)).To(Succeed())
		Expect(failure.CodeOf(acquire(theirs))).To(Equal(failure.PeerUnreachable))
		Expect(failure.CodeOf(acquire())).To(Equal(failure.PeerUnreachable))
		plain := peer.NewClient(peer.ClientOptions{Key: "k"})
		DeferCleanup(plain.Close)
		_, err := plain.Acquire(context.Background(), listener.Addr().String(), fullRequest)
		Expect(failure.CodeOf(err)).To(Equal(failure.PeerUnreachable))
	})
})
