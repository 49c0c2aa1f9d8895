package forward

import (
	"bytes"
	"strconv"
)

// eventSplitter cuts a stream into whole events, so that a stream that breaks within
// one can go on elsewhere after the last whole event.
type eventSplitter struct {
	pending []byte
	// last is the id of the last whole event, "" before the first.
	last string
}

// push takes bytes as they arrive and returns the whole events among them that follow
// the last one. The result is valid until the next call.
func (s *eventSplitter) push(data []byte) []byte {
	s.pending = append(s.pending, data...)
	var out []byte
	for {
		end := eventEnd(s.pending)
		if end < 0 {
			return out
		}
		event := s.pending[:end]
		if id := eventID(event); id == "" || follows(id, s.last) {
			out = append(out, event...)
			if id != "" {
				s.last = id
			}
		}
		s.pending = append(s.pending[:0:0], s.pending[end:]...)
	}
}

// drop forgets the event that the broken stream left unfinished.
func (s *eventSplitter) drop() { s.pending = nil }

// eventEnd is the length of the first whole event, its blank line included, or -1.
func eventEnd(data []byte) int {
	for i := 0; i < len(data); i++ {
		if data[i] != '\n' {
			continue
		}
		rest := data[i+1:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return i + 2
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + 3
		}
	}
	return -1
}

// eventID returns the id of an event, or "".
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// follows reports whether id comes after last; ids are numbers that increase.
func follows(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
