// Package eventstream tells at which bytes a stream of server-sent events may end
// (https://html.spec.whatwg.org/multipage/server-sent-events.html).
package eventstream

import (
	"bytes"
	"errors"
	"strings"
)

// mediaType is the media type of event streams.
const mediaType = "text/event-stream"

const (
	// dataField is the field without which a block of lines is no event.
	dataField = "data"
	// idField names the event after which a stream can be resumed.
	idField = "id"
	// lineEnds are the bytes that end a line, alone or as a pair.
	lineEnds = "\r\n"
	// byteOrderMark may be at the beginning of a stream and belongs to no line.
	byteOrderMark = "\uFEFF"
)

// Reasons for which a stream that has ended is incomplete.
var (
	// ErrWithinEvent means that the stream ended within an event.
	ErrWithinEvent = errors.New("the stream ended within an event")
	// ErrNoEvent means that the stream ended before its first event, and that nothing but the end
	// of its connection says that it should.
	ErrNoEvent = errors.New("the connection closed before the first event")
)

// IsContentType reports whether a Content-Type field names an event stream.
func IsContentType(value string) bool {
	name, _, _ := strings.Cut(value, ";")
	return strings.EqualFold(strings.TrimSpace(name), mediaType)
}

// Position follows the bytes of one stream. Its zero value is the position before the first byte.
type Position struct {
	// events counts the complete events.
	events int
	// line holds the first bytes of the current line, enough to recognise dataField.
	line [len(byteOrderMark) + len(dataField) + 1]byte
	// lineLength is the length of the current line so far.
	lineLength int
	// started is set once the first line has ended.
	started bool
	// pending is the number of bytes since the last blank line.
	pending int
	// hasField and hasData are set once the current block of lines has a field other than a
	// comment, and a data field.
	hasField, hasData bool
	// afterCR is set if the last byte was a carriage return; a line feed then ends no further line.
	afterCR bool
	// pairs is set if lines end with a carriage return and a line feed; the former alone then ends
	// within the pair.
	pairs bool
}

// Push moves the position behind data.
func (p *Position) Push(data []byte) {
	for len(data) > 0 {
		if p.afterCR && data[0] == '\n' {
			data = data[1:]
			p.afterCR, p.pairs = false, true
			continue
		}
		p.afterCR = false
		end := bytes.IndexAny(data, lineEnds)
		if end < 0 {
			p.extendLine(data)
			return
		}
		p.extendLine(data[:end])
		p.afterCR = data[end] == '\r'
		p.endLine()
		data = data[end+1:]
	}
}

func (p *Position) extendLine(data []byte) {
	if p.lineLength < len(p.line) {
		copy(p.line[p.lineLength:], data)
	}
	p.lineLength += len(data)
	p.pending += len(data)
}

func (p *Position) endLine() {
	if p.lineLength == 0 {
		if p.hasData {
			p.events++
		}
		p.pending, p.hasField, p.hasData, p.started = 0, false, false, true
		return
	}
	p.pending++
	p.hasField = p.hasField || p.inField()
	p.hasData = p.hasData || p.isDataLine()
	p.lineLength, p.started = 0, true
}

// lineStart returns the first bytes of the current line.
func (p *Position) lineStart() []byte {
	start := p.line[:min(p.lineLength, len(p.line))]
	if !p.started {
		start = bytes.TrimPrefix(start, []byte(byteOrderMark))
	}
	return start
}

// inField reports whether the current line is a field, or the beginning of one; a comment is none.
func (p *Position) inField() bool {
	start := p.lineStart()
	return len(start) > 0 && start[0] != ':'
}

func (p *Position) isDataLine() bool {
	name, isField := bytes.CutPrefix(p.lineStart(), []byte(dataField))
	return isField && (len(name) == 0 || name[0] == ':')
}

// Events returns the number of complete events.
func (p *Position) Events() int { return p.events }

// Pending returns the number of bytes since the last event or blank line.
func (p *Position) Pending() int { return p.pending }

// CheckEnd returns nil if a stream may end at this position, and otherwise why it is incomplete.
// selfDelimited states that the framing of the response ended too. Without that, a closed
// connection is all that says so, and a crashed endpoint's connections close as well.
func (p *Position) CheckEnd(selfDelimited bool) error {
	switch {
	case p.hasField || p.inField() || (p.afterCR && p.pairs) || (!selfDelimited && p.pending > 0):
		return ErrWithinEvent
	case !selfDelimited && p.events == 0:
		return ErrNoEvent
	}
	return nil
}
