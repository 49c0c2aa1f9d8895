package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/settings"
)

// listeners holds the daemon's three listeners.
type listeners struct {
	callers net.Listener
	admin   net.Listener
	peers   net.Listener
}

// openListeners opens all three listeners, or none. An error names the setting.
func openListeners(ctx context.Context, s settings.Settings, account *memory.Account) (listeners, error) {
	var opened listeners
	var err error
	if opened.callers, err = openListener(ctx, account, memory.Callers, s.Callers.Listen, s.Callers.TLS); err != nil {
		return opened, err
	}
	if opened.admin, err = openListener(ctx, account, memory.Operators, s.Admin.Listen, s.Admin.TLS); err != nil {
		opened.closeAll()
		return opened, err
	}
	// The peer server does TLS itself, so its listener is plain TCP.
	if opened.peers, err = openListener(ctx, account, memory.Peers, s.Peers.Listen, settings.TLS{}); err != nil {
		opened.closeAll()
		return opened, err
	}
	return opened, nil
}

func (s listeners) closeAll() {
	for _, listener := range []net.Listener{s.callers, s.admin, s.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// sections are the sections of the settings for the listeners.
var sections = map[memory.Class]string{memory.Callers: "callers", memory.Operators: "admin", memory.Peers: "peers"}

// openListener opens a listener whose connections are accounted for, with TLS if it is set.
func openListener(ctx context.Context, account *memory.Account, class memory.Class, address string, tlsSettings settings.TLS) (net.Listener, error) {
	section := sections[class]
	listener, err := memory.Listen(ctx, net.ListenConfig{}, "tcp", address, class)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidObject, section+".listen")
	}
	listener = memory.NewListener(listener, account, class, connectionBytes)
	if !tlsSettings.Enabled() {
		return listener, nil
	}
	config, err := tlsConfig(section, tlsSettings)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, config), nil
}

// tlsConfig loads a certificate. If a CA file is named, mutual TLS is required: both
// sides must present a certificate that chains to one of its CAs.
func tlsConfig(section string, files settings.TLS) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidObject, section+".tls")
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	if files.CAFile == "" {
		return config, nil
	}
	pem, err := os.ReadFile(files.CAFile)
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
