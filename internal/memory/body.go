package memory

import (
	"errors"
	"io"
)

// firstBuffer is the size of the first buffer of a body. A body that is announced but does not come takes
// no more.
const firstBuffer = 4 << 10

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("the body exceeds the limit")

// Room is what bodies are read into: a Holder or a Quota.
type Room interface {
	// Reserve adds bytes, and reports whether there is room for them. Release takes them back.
	Reserve(bytes int) bool
	Release(bytes int)
	// Moved notes that bytes have arrived.
	Moved()
}

// ReadBody reads a body of at most limit bytes, within the room. announced is its length, or
// negative if it is not known. What is held grows with what has arrived, whatever the size of the chunks,
// and is the capacity of the slice on return, also on an error. The error is ErrTooLarge, ErrNoRoom or
// that of r.
func ReadBody(r io.Reader, h Room, announced, limit int) (body []byte, err error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	most := limit + 1 // One byte more tells a body that is too large.
	if announced >= 0 {
		most = announced
	}
	for {
		if len(body) == cap(body) {
			if len(body) == most && announced >= 0 {
				return body, nil
			}
			if body, err = grow(h, body, most); err != nil {
				return body, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		h.Moved()
		switch {
		case len(body) > limit:
			return body, ErrTooLarge
		case announced >= 0 && len(body) == announced:
			return body, nil
		case errors.Is(err, io.EOF) && announced < 0:
			return body, nil
		case errors.Is(err, io.EOF):
			return body, io.ErrUnexpectedEOF
		case err != nil:
			return body, err
		}
	}
}

// grow returns a copy of body with twice the capacity, at most most.
func grow(h Room, body []byte, most int) ([]byte, error) {
	size := min(max(firstBuffer, 2*cap(body)), most)
	if !h.Reserve(size) {
		return body, ErrNoRoom
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	h.Release(cap(body))
	return larger, nil
}
