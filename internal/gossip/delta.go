package gossip

// Load pattern: a change that hundreds of daemons must learn at once. It is told in
// datagrams, so that none of them has to fetch it from the few that know it first.

const (
	// newsPartBytes is the part of the news in one datagram.
	newsPartBytes = 1100
	// maxNewsParts bounds the news that are told in datagrams; longer ones are fetched.
	maxNewsParts = 24
)

// NewsPart is a part of what changed lately at the sender.
type NewsPart struct {
	_ struct{} `cbor:",toarray"`
	// Number tells the sender's news apart; a higher one is later.
	Number uint32
	Part   int
	Of     int
	Data   []byte
}

// newsParts cuts news, or returns nil if they are too long to be told.
func newsParts(number uint32, data []byte) []NewsPart {
	of := (len(data) + newsPartBytes - 1) / newsPartBytes
	if of > maxNewsParts {
		return nil
	}
	parts := make([]NewsPart, of)
	for i := range parts {
		parts[i] = NewsPart{Number: number, Part: i, Of: of, Data: data[i*newsPartBytes : min(len(data), (i+1)*newsPartBytes)]}
	}
	return parts
}

// inbox puts news together. It holds the latest of each sender.
type inbox struct{ bySender map[string]*assembly }

type assembly struct {
	number uint32
	parts  [][]byte
	left   int
}

// add takes a part and returns the news when it was the last that was missing.
func (b *inbox) add(sender string, part NewsPart) []byte {
	if part.Of < 1 || part.Of > maxNewsParts || part.Part < 0 || part.Part >= part.Of {
		return nil
	}
	if b.bySender == nil {
		b.bySender = make(map[string]*assembly)
	}
	a := b.bySender[sender]
	if a == nil || a.number < part.Number {
		a = &assembly{number: part.Number, parts: make([][]byte, part.Of), left: part.Of}
		b.bySender[sender] = a
	}
	if a.number != part.Number || len(a.parts) != part.Of || a.parts[part.Part] != nil {
		return nil // Of earlier news, or seen.
	}
	a.parts[part.Part] = part.Data
	a.left--
	if a.left > 0 {
		return nil
	}
	var whole []byte
	for _, data := range a.parts {
		whole = append(whole, data...)
	}
	return whole
}

// forget drops what a sender told before it restarted.
func (b *inbox) forget(sender string) { delete(b.bySender, sender) }
