package soak

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// event matches an event of the stand-in endpoint.
var event = regexp.MustCompile(`^id: (\d+)\ndata: event (\d+) of (\S+)(?: (\S+))? as (\S+)\n\n$`)

// eventEnd separates the events of a stream.
const eventEnd = "\n\n"

// Stream is the content of one response that is an event stream.
type Stream struct {
	// Events is the number of whole events.
	Events int
	// Endpoints are the endpoints that sent them, in order.
	Endpoints []string
	// Versions are the versions of these endpoints, in order.
	Versions []string
	// Error describes the first byte sequence that doesn't belong to the response; empty if there is none.
	Error string
}

// ParseStream checks each byte of a stream to the request with the given id: after the event
// numbered after, each event comes once and in order, up to the event numbered last if the
// response is complete. An incomplete response may end within an event.
func ParseStream(body, id string, after, last int, complete bool) (s Stream) {
	for s.Error == "" {
		next := after + s.Events + 1
		text, rest, whole := strings.Cut(body, eventEnd)
		if !whole {
			s.Error = tailError(body, id, next, last, complete)
			return s
		}
		s.addEvent(text+eventEnd, id, next, last)
		body = rest
	}
	return s
}

func (s *Stream) addEvent(text, id string, next, last int) {
	parts := event.FindStringSubmatch(text)
	number := strconv.Itoa(next)
	switch {
	case parts == nil:
		s.Error = fmt.Sprintf("not an event of an endpoint where event %d was due: %q", next, text)
	case parts[5] != id:
		s.Error = fmt.Sprintf("an event of another request where event %d was due: %q", next, text)
	case parts[1] != number || parts[2] != number || next > last:
		s.Error = fmt.Sprintf("event %s where %d of %d was due: %q", parts[1], next, last, text)
	default:
		s.Events++
		if !slices.Contains(s.Endpoints, parts[3]) {
			s.Endpoints = append(s.Endpoints, parts[3])
		}
		if parts[4] != "" && !slices.Contains(s.Versions, parts[4]) {
			s.Versions = append(s.Versions, parts[4])
		}
	}
}

// tailError checks the bytes after the last whole event.
func tailError(tail, id string, next, last int, complete bool) string {
	if complete {
		switch {
		case tail != "":
			return fmt.Sprintf("complete, and ends within event %d: %q", next, tail)
		case next <= last:
			return fmt.Sprintf("complete before event %d of %d", next, last)
		}
		return ""
	}
	begin := fmt.Sprintf("id: %d\ndata: event %d of ", next, next)
	if strings.HasPrefix(begin, tail) {
		return ""
	}
	rest, ok := strings.CutPrefix(tail, begin)
	_, ending, named := strings.Cut(rest, " as ")
	if !ok || named && !strings.HasPrefix(id+eventEnd, ending) {
		return fmt.Sprintf("not a part of event %d: %q", next, tail)
	}
	return ""
}

// PlainError describes bytes of a body that isn't a stream which don't belong to the request with the given id.
func PlainError(body, id, method, path, workspace string, complete bool) string {
	end := fmt.Sprintf(" ran %s %s for %s as %s\n", method, path, workspace, id)
	endpoint, rest, named := strings.Cut(body, " ")
	if named {
		rest = " " + rest
	}
	if strings.ContainsAny(endpoint, "\n:") || !strings.HasPrefix(end, rest) || complete && rest != end {
		return fmt.Sprintf("not the response to this request, or not all of it: %q", body)
	}
	return ""
}
