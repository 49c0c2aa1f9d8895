package eventstream

import (
	"bytes"
	"strings"
)

// Event is what a parser finds in one block of lines, up to a blank line. Only one with data is an
// event for the caller; a block of comments, or of an id alone, is none.
type Event struct {
	// ID is the last id of the block, and HasID is set if there is one; an empty id resets the one
	// before.
	ID    string
	HasID bool
	// Data holds the values of the data fields, each with a line feed, and HasData is set if there
	// is one.
	Data    []byte
	HasData bool
}

// WithoutMark returns the first block of a stream without a byte order mark.
func WithoutMark(block []byte) []byte { return bytes.TrimPrefix(block, []byte(byteOrderMark)) }

// Parse reads a block of lines.
func Parse(block []byte) (e Event) {
	for len(block) > 0 {
		var line []byte
		line, block = nextLine(block)
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case idField:
			if bytes.IndexByte(value, 0) < 0 {
				e.ID, e.HasID = strings.TrimSpace(string(value)), true
			}
		case dataField:
			e.Data, e.HasData = append(append(e.Data, value...), '\n'), true
		}
	}
	return e
}

// nextLine returns the first line of block without its end, and what follows.
func nextLine(block []byte) (line, rest []byte) {
	end := bytes.IndexAny(block, lineEnds)
	if end < 0 {
		return block, nil
	}
	next := end + 1
	if block[end] == '\r' && next < len(block) && block[next] == '\n' {
		next++
	}
	return block[:end], block[next:]
}
