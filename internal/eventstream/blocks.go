package eventstream

import "bytes"

// Blocks cuts a stream into blocks of lines, each with the blank line that ends it. Its zero value
// is at the beginning of a stream.
type Blocks struct {
	// pending is the incomplete block at the end of the received bytes.
	pending []byte
	// lineStart is where the last line of pending begins, and scanned the number of bytes of pending
	// of which it is known that no line ends there.
	lineStart, scanned int
	// pairs is set if lines end with a carriage return and a line feed.
	pairs bool
}

// Push appends received bytes.
func (b *Blocks) Push(data []byte) { b.pending = append(b.pending, data...) }

// Pending returns the received bytes that Next has not returned.
func (b *Blocks) Pending() []byte { return b.pending }

// Next returns the first complete block, or nil. A blank line may end with the last byte received: a
// carriage return, of which it isn't known whether a line feed follows. It ends there unless the
// lines before end with both.
func (b *Blocks) Next() []byte {
	for {
		i := bytes.IndexAny(b.pending[b.scanned:], lineEnds)
		if i < 0 {
			b.scanned = len(b.pending)
			return nil
		}
		end := b.scanned + i
		next, blank := end+1, end == b.lineStart
		if b.pending[end] == '\r' {
			switch {
			case next < len(b.pending) && b.pending[next] == '\n':
				next, b.pairs = next+1, true
			case next == len(b.pending) && (b.pairs || !blank):
				b.scanned = end
				return nil
			}
		}
		b.lineStart, b.scanned = next, next
		if blank {
			block := b.pending[:next:next]
			b.pending, b.lineStart, b.scanned = append([]byte(nil), b.pending[next:]...), 0, 0
			return block
		}
	}
}
