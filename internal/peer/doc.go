// Package peer implements client and server of the protocol between daemons: Connect RPC
// over HTTP/1.1 and HTTP/2, with or without TLS, authenticated by a shared key. The
// messages are defined in proto/; peerv1 holds the generated code, which is committed.
package peer
