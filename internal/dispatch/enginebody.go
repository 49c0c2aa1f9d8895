package dispatch

import (
	"encoding/json"
	"strings"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// Fields of engine calls that the dispatcher reads or sets.
const (
	fieldMessages      = "messages"
	fieldPrompt        = "prompt"
	fieldStream        = "stream"
	fieldStreamOptions = "stream_options"
	fieldPriority      = "priority"
	fieldMaxTokens     = "max_tokens"
	fieldMaxCompletion = "max_completion_tokens"
	fieldContinue      = "continue_final_message"
	fieldAddPrompt     = "add_generation_prompt"
)

// unresumableFields are request fields whose responses can not be resumed from their text.
var unresumableFields = []string{
	"tools", "functions", "logprobs", "top_logprobs", "response_format", "echo", "suffix", "best_of",
	"guided_json", "guided_regex", "guided_choice", "guided_grammar", "structured_outputs",
}

// message holds the fields of a chat message that the dispatcher reads.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// engineBody is the parsed body of an engine call, from which the body of each attempt is
// encoded. It is immutable once parsed.
type engineBody struct {
	fields       map[string]json.RawMessage
	chat         bool
	messages     []json.RawMessage
	prompt       string
	limit        int
	limitField   string
	includeUsage bool
	// canResume is false if the request asks for more than text.
	canResume bool
}

func parseEngineBody(request Request) (*engineBody, *failure.Failure) {
	b := &engineBody{chat: request.API == ChatCompletions, limit: outputLimit(request)}
	if err := json.Unmarshal(request.Body, &b.fields); err != nil || b.fields == nil {
		return nil, failure.New(failure.InvalidRequest, "body: found no JSON object; allowed: a JSON object")
	}
	var err error
	if b.chat {
		err = json.Unmarshal(b.fields[fieldMessages], &b.messages)
	} else {
		err = json.Unmarshal(b.fields[fieldPrompt], &b.prompt)
	}
	if err != nil {
		return nil, failure.New(failure.InvalidRequest, "body: messages or prompt: found another type; allowed: a list of messages, or one string")
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	_ = json.Unmarshal(b.fields[fieldStreamOptions], &options) // the field is optional.
	b.includeUsage = options.IncludeUsage
	b.limitField = fieldMaxTokens
	if _, ok := b.fields[fieldMaxCompletion]; ok {
		b.limitField = fieldMaxCompletion
	}
	b.canResume = b.textOnly()
	return b, nil
}

// textOnly reports whether the request asks for text alone.
func (b *engineBody) textOnly() bool {
	for _, name := range unresumableFields {
		raw, ok := b.fields[name]
		if ok && !lo.Contains([]string{"null", "false", "[]", `{"type":"text"}`}, string(raw)) {
			return false
		}
	}
	return string(b.fields[fieldContinue]) != "true"
}

// promptText approximates the text that the engine processes first. It is used to estimate
// the prompt length and to compute prefix blocks.
func (b *engineBody) promptText() string {
	if !b.chat {
		return b.prompt
	}
	var text strings.Builder
	for _, raw := range b.messages {
		var m message
		if json.Unmarshal(raw, &m) != nil {
			continue
		}
		text.WriteString(m.Role + "\n" + m.text() + "\n")
	}
	return text.String()
}

// text returns the content as a string, or its JSON if it is not a string.
func (m message) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

// progress is the part of a response that earlier attempts have produced.
type progress struct {
	text   string
	tokens int
}

// encode returns the body for one attempt. If prior has text, the engine continues from it.
func (b *engineBody) encode(priority int, prior progress) []byte {
	fields := lo.Assign(b.fields, map[string]json.RawMessage{
		fieldStream:        json.RawMessage("true"),
		fieldStreamOptions: json.RawMessage(`{"include_usage":true}`),
		fieldPriority:      mustJSON(priority),
	})
	delete(fields, fieldMaxTokens)
	delete(fields, fieldMaxCompletion)
	if b.limit > 0 {
		fields[b.limitField] = mustJSON(max(1, b.limit-prior.tokens))
	}
	if prior.text != "" {
		b.continueFrom(fields, prior.text)
	}
	return mustJSON(fields)
}

// continueFrom sets the fields that make the engine continue after text.
func (b *engineBody) continueFrom(fields map[string]json.RawMessage, text string) {
	if !b.chat {
		fields[fieldPrompt] = mustJSON(b.prompt + text)
		return
	}
	last := mustJSON(message{Role: "assistant", Content: mustJSON(text)})
	fields[fieldMessages] = mustJSON(append(b.messages[:len(b.messages):len(b.messages)], last))
	fields[fieldContinue] = json.RawMessage("true")
	fields[fieldAddPrompt] = json.RawMessage("false")
}

// mustJSON encodes a value whose encoding can not fail.
func mustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}
