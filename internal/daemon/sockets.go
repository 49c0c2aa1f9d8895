package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/settings"
)

// sockets are the daemon's three listeners.
type sockets struct {
	callers net.Listener
	admin   net.Listener
	peers   net.Listener
}

func openSockets(ctx context.Context, s settings.Settings) (sockets, error) {
	var out sockets
	var err error
	if out.callers, err = open(ctx, "callers", s.Callers.Listen, s.Callers.TLS); err != nil {
		return out, err
	}
	if out.admin, err = open(ctx, "admin", s.Admin.Listen, s.Admin.TLS); err != nil {
		out.close()
		return out, err
	}
	// The peers' server speaks TLS itself.
	if out.peers, err = open(ctx, "peers", s.Peers.Listen, settings.TLS{}); err != nil {
		out.close()
		return out, err
	}
	return out, nil
}

func (s sockets) close() {
	for _, listener := range []net.Listener{s.callers, s.admin, s.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func open(ctx context.Context, section, address string, secure settings.TLS) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidObject, section+".listen")
	}
	if !secure.Enabled() {
		return listener, nil
	}
	config, err := tlsConfig(section, secure)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, config), nil
}

// tlsConfig loads a certificate; with authorities named, both sides must show one.
func tlsConfig(section string, s settings.TLS) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidObject, section+".tls")
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	if s.CAFile == "" {
		return config, nil
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidObject, section+".tls.ca_file")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, failure.New(failure.InvalidObject, section+".tls.ca_file: found no certificate; allowed: PEM certificates")
	}
	config.ClientCAs = authorities
	config.RootCAs = authorities
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
