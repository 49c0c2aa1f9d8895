package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// digestOf identifies the content of a request: requests with equal digests make the same
// call to the same service.
func digestOf(request Request) string {
	h := sha256.New()
	for _, part := range []string{request.Service.Name, string(request.API), request.Method, request.Path, request.Query} {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	_, _ = h.Write(request.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// outputLimit is the maximum length of the response in tokens; zero means no limit.
func outputLimit(request Request) int {
	limit := request.Profile.MaxOutputTokens
	if limit == 0 || request.MaxOutputTokens > 0 && request.MaxOutputTokens < limit {
		return request.MaxOutputTokens
	}
	return limit
}
