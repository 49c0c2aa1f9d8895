package forward

import (
	"strconv"
	"strings"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// hopByHop lists the header fields that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
	"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
}

// filters holds the lower-case names of the header fields that are removed in each direction.
type filters struct {
	request  map[string]bool
	response map[string]bool
}

func newFilters(h headers.Names) filters {
	f := filters{request: make(map[string]bool), response: make(map[string]bool)}
	for _, name := range hopByHop {
		f.request[name], f.response[name] = true, true
	}
	for _, name := range append([]string{h.Deadline, h.APIKey, h.Workspace, h.Endpoint, h.Priority, h.FetchFrom, h.NotRun, h.ResponseSignature, h.Load}, h.Reserved...) {
		f.request[strings.ToLower(name)] = true
	}
	f.response[strings.ToLower(h.Load)], f.response[strings.ToLower(h.Leaving)], f.response[strings.ToLower(h.Limit)], f.response[strings.ToLower(h.Brittle)] = true, true, true, true
	return f
}

// parseConnectionOptions returns the lower-case field names listed in a Connection field.
func parseConnectionOptions(value string) map[string]bool {
	if value == "" {
		return nil
	}
	options := make(map[string]bool)
	for _, name := range strings.Split(value, ",") {
		options[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return options
}

// parsePrompt parses the declared prompt size and parts. A value that can't be parsed counts
// as not declared.
func parsePrompt(size, parts string) (tokens int, declared []balance.PromptPart) {
	input, _, _ := strings.Cut(size, ",")
	tokens, err := strconv.Atoi(strings.TrimSpace(input))
	if err != nil || tokens < 0 {
		tokens = 0
	}
	if parts == "" {
		return tokens, nil
	}
	for _, item := range strings.Split(parts, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(item), ":")
		n, err := strconv.Atoi(count)
		if err != nil || n < 0 || id == "" {
			return tokens, nil
		}
		declared = append(declared, balance.PromptPart{ID: id, Tokens: n})
	}
	return tokens, declared
}

func appendField(block []byte, f httpio.Field) []byte {
	block = append(block, f.Name...)
	block = append(block, ": "...)
	block = append(block, f.Value...)
	return append(block, "\r\n"...)
}
