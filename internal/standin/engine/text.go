package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one chat message with text content.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// generatedSuffix matches the response tokens at the end of a prompt that resumes a response.
var generatedSuffix = regexp.MustCompile(`(?: w\d+\.[0-9a-f]{4})+$`)

// tokenText returns token i of the response to the prompt with this digest.
func tokenText(digest uint64, i int) string {
	h := xxhash.Sum64String(strconv.FormatUint(digest, 16) + "/" + strconv.Itoa(i))
	return fmt.Sprintf(" w%d.%04x", i, h&0xffff)
}

// splitGenerated separates a prompt from the partial response that follows it, and
// counts the tokens of the partial response.
func splitGenerated(text string) (prompt string, tokens int) {
	at := generatedSuffix.FindStringIndex(text)
	if at == nil {
		return text, 0
	}
	return text[:at[0]], strings.Count(text[at[0]:], " ")
}

// chatPrompt renders messages as the prompt from which the response is derived.
func chatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

// Digest returns the hash that identifies a prompt in run records, in hexadecimal.
func Digest(prompt string) string { return strconv.FormatUint(xxhash.Sum64String(prompt), 16) }

// responseLength returns the length of the uncapped response in tokens.
func (o Options) responseLength(digest uint64) int {
	return o.MinTokens + int(digest%uint64(o.MaxTokens-o.MinTokens+1))
}

// ChatResponse returns the complete response text of an engine with these options to
// messages; maxTokens zero means no cap.
func (o Options) ChatResponse(messages []Message, maxTokens int) string {
	return o.responseText(chatPrompt(messages), maxTokens)
}

// CompletionResponse returns the complete response text of an engine with these options
// to a prompt; maxTokens zero means no cap.
func (o Options) CompletionResponse(prompt string, maxTokens int) string {
	return o.responseText(prompt, maxTokens)
}

func (o Options) responseText(prompt string, maxTokens int) string {
	o = o.withDefaults()
	digest := xxhash.Sum64String(prompt)
	n := o.responseLength(digest)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenText(digest, i))
	}
	return b.String()
}
