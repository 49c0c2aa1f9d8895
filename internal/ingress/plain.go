package ingress

import (
	"net/textproto"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// unforwardedHeaders are not forwarded to endpoints: they apply to a single connection, carry
// the caller's API key, or are set by the endpoint client.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "X-Request-Id",
}

func (s *Server) handlePlain(c fiber.Ctx) error {
	request, snapshot, err := s.authenticatedRequest(c)
	if err != nil {
		return err
	}
	service, err := plainService(snapshot, c.Params("service"))
	if err != nil {
		return err
	}
	request.API = dispatch.PlainCall
	request.Service = service
	request.Method = strings.Clone(c.Method())
	request.Path = "/" + strings.Clone(c.Params("*"))
	request.Query = string(c.Request().URI().QueryString())
	request.Header = forwardedHeaders(c)
	return s.serveStream(c, request)
}

func plainService(snapshot *catalog.Snapshot, name string) (catalog.Service, error) {
	service, ok := snapshot.Service(name)
	if !ok {
		return service, failure.New(failure.UnknownService, "no service "+strings.Clone(name)+" is in force")
	}
	if service.Kind != catalog.Plain {
		return service, failure.New(failure.InvalidRequest, "service "+service.Name+" is called through /v1/chat/completions and /v1/completions")
	}
	return service, nil
}

func forwardedHeaders(c fiber.Ctx) map[string]string {
	headers := map[string]string{}
	for name, value := range c.Request().Header.All() {
		canonical := textproto.CanonicalMIMEHeaderKey(string(name))
		if !lo.Contains(unforwardedHeaders, canonical) {
			headers[canonical] = string(value)
		}
	}
	return headers
}
