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

// AmbiguousLength reports a header with both a length and a transfer encoding: what
// follows it could be read as another request by the next hop.
func AmbiguousLength(h *fasthttp.RequestHeader) bool {
	raw := bytes.ToLower(h.RawHeaders())
	return hasField(raw, "transfer-encoding:") && hasField(raw, "content-length:")
}

func hasField(lowerRaw []byte, field string) bool {
	return bytes.HasPrefix(lowerRaw, []byte(field)) || bytes.Contains(lowerRaw, []byte("\n"+field))
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout())
}

// isDisconnect reports that the other side closed or reset the connection.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed)
}
