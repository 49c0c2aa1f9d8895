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

// generated matches the words of an answer at the end of a prompt that resumes it.
var generated = regexp.MustCompile(`(?: w\d+\.[0-9a-f]{4})+$`)

// word is token i of the answer to a prompt.
func word(digest uint64, i int) string {
	h := xxhash.Sum64String(strconv.FormatUint(digest, 16) + "/" + strconv.Itoa(i))
	return fmt.Sprintf(" w%d.%04x", i, h&0xffff)
}

// splitGenerated separates a prompt from the part of its answer that follows it,
// and counts the tokens of that part.
func splitGenerated(text string) (prompt string, tokens int) {
	at := generated.FindStringIndex(text)
	if at == nil {
		return text, 0
	}
	return text[:at[0]], strings.Count(text[at[0]:], " ")
}

// chatPrompt renders messages as the text that the answer is derived from.
func chatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

// Digest identifies a prompt in run records.
func Digest(prompt string) string { return strconv.FormatUint(xxhash.Sum64String(prompt), 16) }

// answerLength is the natural length of the answer in tokens.
func (o Options) answerLength(digest uint64) int {
	return o.MinTokens + int(digest%uint64(o.MaxTokens-o.MinTokens+1))
}

// ChatAnswer is the whole answer that an engine with these options gives to messages;
// maxTokens zero means no cap.
func (o Options) ChatAnswer(messages []Message, maxTokens int) string {
	return o.answer(chatPrompt(messages), maxTokens)
}

// CompletionAnswer is the whole answer that an engine with these options gives to a prompt.
func (o Options) CompletionAnswer(prompt string, maxTokens int) string {
	return o.answer(prompt, maxTokens)
}

func (o Options) answer(prompt string, maxTokens int) string {
	o = o.withDefaults()
	digest := xxhash.Sum64String(prompt)
	n := o.answerLength(digest)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	var b strings.Builder
	for i := range n {
		b.WriteString(word(digest, i))
	}
	return b.String()
}
