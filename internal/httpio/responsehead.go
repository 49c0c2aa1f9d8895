package httpio

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/httphead"
)

// errHeadTooLong means that the head of a response exceeds readBufferBytes.
var errHeadTooLong = errors.New("the head is too long")

// readHeader reads the header of one response. Errors that wrap ErrMalformed are of the bytes received,
// others are of the connection.
func readHeader(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	header.Reset()
	header.SetNoDefaultContentType(true)
	head, plain, err := awaitHead(reader)
	if err != nil {
		return err
	}
	size, unread := len(head), reader.Buffered()
	if plain {
		err = header.Read(reader)
	} else {
		head = httphead.Canonical(head)
		err = header.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
		_, _ = reader.Discard(size) // The bytes are buffered.
	}
	if err == nil && unread-reader.Buffered() != size {
		err = errors.New("the head has no clear end")
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// awaitHead blocks until the reader has buffered a whole head, and checks each line as it arrives. plain
// is set if parsers agree on the head as it is.
func awaitHead(reader *bufio.Reader) (head []byte, plain bool, err error) {
	var lines httphead.Scanner
	for checked := 0; ; {
		buffered, err := reader.Peek(reader.Buffered())
		if err != nil {
			return nil, false, err
		}
		n, ended, err := lines.Scan(buffered[checked:])
		checked += n
		if err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if ended {
			return buffered[:checked], lines.Plain(), nil
		}
		_, err = reader.Peek(len(buffered) + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, false, fmt.Errorf("%w: %w", ErrMalformed, errHeadTooLong)
		}
		if err != nil {
			return nil, false, err
		}
	}
}
