package memory

import (
	"bytes"
	"errors"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// ErrCoding means that the content coding of a body is not known, or that the body breaks its rules.
var ErrCoding = errors.New("the body can't be decoded")

// ReadRequest reads the body of a request whose server streams it (StreamRequestBody), with room of the
// connection's account. It returns the body without its content codings, of at most limit bytes. The
// request is running afterwards and gives way no more. The error is ErrCoding or one of ReadBody, behind
// which the connection is closed.
func ReadRequest(c *fasthttp.RequestCtx, limit int) ([]byte, error) {
	held := HolderOf(c.Conn())
	var body []byte
	var err error
	if stream := c.Request.BodyStream(); stream != nil {
		body, err = ReadBody(stream, held, announcedLength(c), limit)
	}
	if err == nil && !held.SetState(Running) {
		err = ErrNoRoom
	}
	if err != nil {
		if held.GaveWay() {
			err = ErrNoRoom
		}
		held.Release(cap(body))
		c.SetConnectionClose()
		return nil, err
	}
	c.Request.SetBodyRaw(body)
	return decode(c, held, body, limit)
}

// decode returns the body without its content codings, with room of the holder.
func decode(c *fasthttp.RequestCtx, held *Holder, body []byte, limit int) ([]byte, error) {
	codings := strings.Split(strings.ToLower(string(c.Request.Header.ContentEncoding())), ",")
	for _, coding := range slices.Backward(codings) {
		decoder, known := decoders[strings.TrimSpace(coding)]
		switch {
		case !known:
			return nil, ErrCoding
		case decoder == nil:
			continue
		case !held.Reserve(limit): // A decoded body may be as large as that.
			return nil, ErrNoRoom
		}
		decoded, err := decoder(&c.Request, limit)
		held.Release(cap(body) + max(0, limit-cap(decoded)))
		switch {
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			return nil, ErrTooLarge
		case err != nil:
			return nil, errors.Join(ErrCoding, err)
		}
		body = decoded
		c.Request.SetBodyRaw(body)
	}
	return body, nil
}

// decoders decode the codings of bodies; those without a decoder change nothing.
var decoders = map[string]func(r *fasthttp.Request, limit int) ([]byte, error){
	"": nil, "identity": nil,
	"gzip": (*fasthttp.Request).BodyGunzipWithLimit, "x-gzip": (*fasthttp.Request).BodyGunzipWithLimit,
	"br": (*fasthttp.Request).BodyUnbrotliWithLimit, "deflate": (*fasthttp.Request).BodyInflateWithLimit, "zstd": (*fasthttp.Request).BodyUnzstdWithLimit,
}

// announcedLength returns the length of a request's body, or -1 if it comes in chunks.
func announcedLength(c *fasthttp.RequestCtx) int {
	if bytes.EqualFold(c.Request.Header.Peek("Transfer-Encoding"), []byte("chunked")) {
		return -1
	}
	return max(-1, c.Request.Header.ContentLength())
}
