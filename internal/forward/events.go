package forward

import (
	"errors"
	"math/big"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewell/primrosewell/internal/eventstream"
)

// maxEventIDLength bounds, in bytes, the ids after which a stream goes on: they are sent to endpoints.
const maxEventIDLength = 64

// errNotTheRest breaks off the stream of an attempt that doesn't go on after the last event that the
// caller received.
var errNotTheRest = errors.New("the response is not the rest of the stream")

// eventSplitter splits the streams of a request's attempts into complete events, so that a stream
// that breaks within an event can go on at another endpoint after the last complete one. Only
// ids that are increasing numbers tell which events of the next attempt are the rest.
type eventSplitter struct {
	blocks eventstream.Blocks
	// begun is set if the caller's stream began in an earlier attempt, and started once the first
	// block of this attempt's stream was read.
	begun, started bool
	// lastID is the id of the last complete event that the caller received, also from earlier
	// attempts, or "" before the first.
	lastID string
	// continued is set once an event has followed lastID; until then the stream may repeat events
	// that the caller has.
	continued bool
	// unordered is set once the caller received an event whose id is missing, or no number above the
	// one before: no id makes an endpoint go on after it.
	unordered bool
	// steps counts the events that followed another one, and gaps those whose id was not the next
	// number. Without gaps so far, a continuation that begins with one lacks an event.
	steps, gaps int
	// lastData is the hash of the last event's data.
	lastData uint64
	// repeating is set once this attempt repeated an event that the caller has, and caughtUp once that
	// was the last one.
	repeating, caughtUp bool
}

// restart prepares for the stream of another attempt; begun is set if the caller's has begun.
func (s *eventSplitter) restart(begun bool) {
	s.blocks, s.begun, s.started = eventstream.Blocks{}, begun, false
	s.continued, s.repeating, s.caughtUp = false, false, false
}

// push appends received bytes and returns the events that they complete, without those
// that were returned before. The error is errNotTheRest.
func (s *eventSplitter) push(data []byte) (out []byte, err error) {
	s.blocks.Push(data)
	for block := s.blocks.Next(); block != nil; block = s.blocks.Next() {
		text := block
		if !s.started {
			text = eventstream.WithoutMark(block)
			s.started = true
		}
		event := eventstream.Parse(text)
		if !s.mayBeRest(event) {
			return out, errNotTheRest
		}
		if s.repeated(event.ID) {
			s.repeating, s.caughtUp = true, !follows(s.lastID, event.ID)
			continue
		}
		if s.begun {
			block = text // Within the caller's stream a byte order mark is a part of the first field's name.
		}
		out = append(out, block...)
		s.note(event)
	}
	return out, nil
}

// mayBeRest reports whether an event may come in the rest of the caller's stream, or before it as one
// that the caller has. Only an id tells which of both; a run that repeats events must repeat the
// last one as it was.
func (s *eventSplitter) mayBeRest(event eventstream.Event) bool {
	if s.continued || s.lastID == "" || !event.HasData && event.ID == "" {
		return true
	}
	switch _, isNumber := eventNumber(event.ID); {
	case !isNumber:
		return false
	case follows(event.ID, s.lastID) && s.repeating:
		return s.caughtUp
	case follows(event.ID, s.lastID):
		return s.steps == 0 || s.gaps > 0 || isNext(event.ID, s.lastID)
	}
	return follows(s.lastID, event.ID) || xxhash.Sum64(event.Data) == s.lastData
}

// checkEnd returns errNotTheRest if the stream of this attempt repeated events but ended before the
// last one that the caller has.
func (s *eventSplitter) checkEnd() error {
	if s.repeating && !s.caughtUp {
		return errNotTheRest
	}
	return nil
}

// note records an event that is sent to the caller.
func (s *eventSplitter) note(event eventstream.Event) {
	if event.ID == "" {
		s.unordered = s.unordered || event.HasData
		return
	}
	s.unordered = s.unordered || !follows(event.ID, s.lastID)
	if s.lastID != "" {
		s.steps++
		if !isNext(event.ID, s.lastID) {
			s.gaps++
		}
	}
	s.lastID, s.lastData, s.continued = event.ID, xxhash.Sum64(event.Data), true
}

// rest returns what is left at the end of a whole stream: comments, since no field may be.
func (s *eventSplitter) rest() []byte { return s.blocks.Pending() }

// repeated reports whether the caller received the event with this id in an earlier attempt.
func (s *eventSplitter) repeated(id string) bool {
	return id != "" && !s.continued && s.lastID != "" && !follows(id, s.lastID)
}

// follows reports whether id is a number and comes after last, which is "" before the first event.
func follows(id, last string) bool {
	number, ok := eventNumber(id)
	if !ok || last == "" {
		return ok
	}
	before, ok := eventNumber(last)
	return ok && number.Cmp(before) > 0
}

// isNext reports whether id is the number behind last.
func isNext(id, last string) bool {
	number, ok := eventNumber(id)
	before, okBefore := eventNumber(last)
	return ok && okBefore && number.Cmp(before.Add(before, big.NewInt(1))) == 0
}

// eventNumber returns the number that an id is.
func eventNumber(id string) (*big.Int, bool) {
	if len(id) > maxEventIDLength {
		return nil, false
	}
	return new(big.Int).SetString(id, 10)
}
