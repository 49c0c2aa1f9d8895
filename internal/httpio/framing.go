package httpio

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/valyala/fasthttp"
)

// AmbiguousLength reports whether a header has both Content-Length and Transfer-Encoding.
// The next hop could frame such a message differently and take a part of the body for
// another request (request smuggling).
func AmbiguousLength(h *fasthttp.RequestHeader) bool {
	raw := bytes.ToLower(h.RawHeaders())
	return hasField(raw, "transfer-encoding:") && hasField(raw, "content-length:")
}

// hasField reports whether a raw header in lower case has a line that starts with field.
func hasField(lowerRaw []byte, field string) bool {
	return bytes.HasPrefix(lowerRaw, []byte(field)) || bytes.Contains(lowerRaw, []byte("\n"+field))
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout())
}

// isDisconnect reports whether err means that the connection was closed or reset.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed)
}
