// Package peer is the protocol between daemons: connect over HTTP/1.1 and
// unencrypted HTTP/2, or TLS, authenticated by a shared key. The messages are in
// proto/; peerv1 holds the generated code, which is committed.
package peer
