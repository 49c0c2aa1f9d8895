package gossip

// Encode and Decode are the wire form of a message.
var (
	Encode = encode
	Decode = decode
)

// EntriesOf lists loads as they are sent.
var EntriesOf = entriesOf
