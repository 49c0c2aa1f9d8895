package platform

import (
	"bytes"
	"cmp"
	"encoding/json"

	"github.com/samber/oops"
)

// What others wrote may hold parts that can't be decoded. The functions below take JSON text apart
// without decoding the parts, so that such a part doesn't make the others unreadable. They take time
// in proportion to the text and no memory for nesting, whose depth they don't limit. They check only
// what they need to find the ends of the parts, whose text may still be no valid JSON.

// SplitMembers calls yield with the name and the text of each member of the object that text holds, in
// their order and with repeated names. The text passed to yield shares memory with text.
func SplitMembers(text []byte, yield func(name string, value []byte)) error {
	s := splitter{text: text}
	return s.list('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		if err := s.expect(':'); err != nil {
			return err
		}
		value, err := s.value()
		if err == nil {
			yield(name, value)
		}
		return err
	})
}

// maxElements bounds the elements of an array. A page of a list has some hundreds; a decoded element takes
// up to thirty times the bytes that it came in.
const maxElements = 1 << 15

// SplitElements calls yield with the text of each element of the array that text holds, which may have
// maxElements. The text passed to yield shares memory with text.
func SplitElements(text []byte, yield func(element []byte)) error {
	s := splitter{text: text}
	count := 0
	return s.list('[', ']', func() error {
		element, err := s.value()
		if count++; err == nil && count > maxElements {
			err = oops.Errorf("more than %d elements", maxElements)
		}
		if err == nil {
			yield(element)
		}
		return err
	})
}

// checkElements checks the number of elements of text, if it is an array, and of the arrays among the
// members of text, if it is an object.
func checkElements(text []byte) error {
	s := splitter{text: text}
	switch s.next() {
	case '[':
		return SplitElements(text, func([]byte) {})
	case '{':
	default:
		return nil // Decoding it tells what is wrong.
	}
	var tooMany error
	err := SplitMembers(text, func(_ string, value []byte) {
		if value[0] == '[' && tooMany == nil {
			tooMany = SplitElements(value, func([]byte) {})
		}
	})
	return cmp.Or(err, tooMany)
}

type splitter struct {
	text []byte
	pos  int
}

// list scans the whole text as a list between two brackets; item scans one of its items.
func (s *splitter) list(open, closing byte, item func() error) error {
	if err := s.expect(open); err != nil {
		return err
	}
	if s.next() == closing {
		s.pos++
		return s.end()
	}
	for {
		if err := item(); err != nil {
			return err
		}
		if s.next() == closing {
			s.pos++
			return s.end()
		}
		if err := s.expect(','); err != nil {
			return err
		}
	}
}

// next skips white space and returns the byte that follows, or 0 at the end of the text.
func (s *splitter) next() byte {
	for ; s.pos < len(s.text); s.pos++ {
		switch c := s.text[s.pos]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

func (s *splitter) expect(c byte) error {
	if s.next() != c || s.pos == len(s.text) {
		return s.unexpected()
	}
	s.pos++
	return nil
}

func (s *splitter) end() error {
	if s.next(); s.pos < len(s.text) {
		return s.unexpected()
	}
	return nil
}

func (s *splitter) unexpected() error {
	if s.pos >= len(s.text) {
		return oops.Errorf("JSON text ends early")
	}
	return oops.Errorf("unexpected byte %q at offset %d of JSON text", s.text[s.pos], s.pos)
}

// name scans the name of a member.
func (s *splitter) name() (string, error) {
	if s.next() != '"' {
		return "", s.unexpected()
	}
	start := s.pos
	if err := s.skipString(); err != nil {
		return "", err
	}
	quoted := s.text[start:s.pos]
	if plain := quoted[1 : len(quoted)-1]; !bytes.ContainsFunc(plain, func(r rune) bool { return r < ' ' || r > '~' || r == '\\' }) {
		return string(plain), nil
	}
	var name string
	err := json.Unmarshal(quoted, &name)
	return name, err
}

// value scans a value and returns its text.
func (s *splitter) value() ([]byte, error) {
	c, start := s.next(), s.pos
	var err error
	switch c {
	case '"':
		err = s.skipString()
	case '{', '[':
		err = s.skipBrackets()
	default:
		s.skipToken()
		if s.pos == start {
			err = s.unexpected()
		}
	}
	if err != nil {
		return nil, err
	}
	return s.text[start:s.pos:s.pos], nil
}

func (s *splitter) skipString() error {
	for s.pos++; s.pos < len(s.text); s.pos++ {
		switch s.text[s.pos] {
		case '\\':
			s.pos++
		case '"':
			s.pos++
			return nil
		}
	}
	s.pos = len(s.text)
	return s.unexpected()
}

// skipBrackets skips a value to the bracket that closes it. It doesn't tell the two kinds of
// brackets apart.
func (s *splitter) skipBrackets() error {
	depth := 0
	for s.pos < len(s.text) {
		switch s.text[s.pos] {
		case '"':
			if err := s.skipString(); err != nil {
				return err
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.pos++
		if depth == 0 {
			return nil
		}
	}
	return s.unexpected()
}

// skipToken skips a number, a literal or what takes the place of one.
func (s *splitter) skipToken() {
	for ; s.pos < len(s.text); s.pos++ {
		switch s.text[s.pos] {
		case ',', ':', '"', '{', '}', '[', ']', ' ', '\t', '\r', '\n':
			return
		}
	}
}
