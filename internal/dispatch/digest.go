package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// digestOf identifies the content of a request: two requests with one digest ask the
// same of the same service.
func digestOf(request Request) string {
	h := sha256.New()
	for _, part := range []string{request.Service.Name, string(request.API), request.Method, request.Path, request.Query} {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	_, _ = h.Write(request.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// outputLimit is the cap on the answer in tokens; zero means none.
func outputLimit(request Request) int {
	limit := request.Profile.MaxOutputTokens
	if limit == 0 || request.MaxOutputTokens > 0 && request.MaxOutputTokens < limit {
		return request.MaxOutputTokens
	}
	return limit
}
