// Package resume decides where a stream that broke off may go on. What two software versions
// of a service write in one stream doesn't fit together, so a stream is resumed only at the
// version that began it. Gateways remember where streams began and ask each other.
package resume

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Window is how long a version counts as recent after its last endpoint was listed. Of a stream that
// lasts longer, only the gateways that remember it know where it began.
const Window = 60 * time.Second

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the endpoint that sent the first event.
	Version string
}

// Key identifies a stream in messages between gateways.
type Key uint64

// KeyOf returns the key of the stream whose first event answered the request with this id.
func KeyOf(requestID string) Key { return Key(xxhash.Sum64String(requestID)) }

// Record is the origin of one stream, as gateways exchange it.
type Record struct {
	Key     Key    `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	// LeftMS is how much longer the record is needed, in ms: clocks of gateways differ.
	LeftMS int64 `cbor:"4,keyasint"`
}

// Query asks a gateway for the origin of a stream.
type Query struct {
	// Number identifies the query at the gateway that sent it.
	Number  uint64 `cbor:"1,keyasint"`
	Key     Key    `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	// Route is the key of the route on which the stream is to be resumed. Earlier builds don't send it.
	Route string `cbor:"4,keyasint,omitempty"`
}

// Answer is the answer to a Query.
type Answer struct {
	Number uint64 `cbor:"1,keyasint"`
	// Record is the stream's origin, or nil if the gateway doesn't know it.
	Record *Record `cbor:"2,keyasint,omitempty"`
	// Recent are the versions of the service that the gateway has seen within Window.
	Recent []string `cbor:"3,keyasint,omitempty"`
	// Complete is set if Recent covers all of Window and everything that a list which the gateway
	// held before a restart could add to it.
	Complete bool `cbor:"4,keyasint,omitempty"`
	// Gateways is the number of gateways that the gateway knows of, itself included. Earlier builds
	// don't say.
	Gateways int `cbor:"5,keyasint,omitempty"`
	// OtherServices is set if the route has had several services within Window.
	OtherServices bool `cbor:"6,keyasint,omitempty"`
}
