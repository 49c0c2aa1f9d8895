package endpoint

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/tmaxmax/go-sse"
)

// Usage is the token count of one call, in the format of the OpenAI API.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails holds the number of prompt tokens read from the cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one event of a streamed response. It shares no memory with the reader.
type Chunk struct {
	ID      string
	Created int64
	Model   string
	// Text is the text that the chunk appends to the response.
	Text string
	// Role is set on the first chunk of a chat response.
	Role string
	// FinishReason is set on the last chunk that has a choice.
	FinishReason string
	// Usage is set on the chunk that reports the token count.
	Usage *Usage
	// Choices is the number of choices in the chunk: 0 or 1.
	Choices int
	// TextOnly is false for a chunk with tool calls, log probabilities, a refusal or
	// reasoning content; such a response cannot be resumed.
	TextOnly bool
	// Data is the JSON of the chunk as received.
	Data []byte

	errorMessage string
}

// HasContent reports whether the chunk adds to the response.
func (c Chunk) HasContent() bool { return c.Text != "" || !c.TextOnly }

type wireDelta struct {
	Role             string          `json:"role"`
	Content          string          `json:"content"`
	ToolCalls        json.RawMessage `json:"tool_calls"`
	FunctionCall     json.RawMessage `json:"function_call"`
	Refusal          string          `json:"refusal"`
	ReasoningContent string          `json:"reasoning_content"`
}

type wireChoice struct {
	Index        int             `json:"index"`
	Delta        wireDelta       `json:"delta"`
	Text         string          `json:"text"`
	FinishReason string          `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs"`
}

type wireChunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wireChoice    `json:"choices"`
	Usage   *Usage          `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// parseChunk parses one event; problem is empty for a valid chunk.
func parseChunk(event sse.Event) (chunk Chunk, problem string) {
	data := []byte(event.Data)
	if !utf8.Valid(data) {
		return Chunk{}, "a chunk is not valid UTF-8"
	}
	var wire wireChunk
	if err := json.Unmarshal(data, &wire); err != nil {
		return Chunk{}, "a chunk is not a JSON object"
	}
	if isSet(wire.Error) || event.Type == "error" {
		return Chunk{errorMessage: errorMessage(data, "the engine ended the response with an error")}, ""
	}
	if wire.ID == "" {
		return Chunk{}, "a chunk has no id"
	}
	if len(wire.Choices) > 1 {
		return Chunk{}, "a chunk has several choices"
	}
	chunk = Chunk{
		ID: wire.ID, Created: wire.Created, Model: wire.Model, Usage: wire.Usage,
		Choices: len(wire.Choices), TextOnly: true, Data: data,
	}
	if len(wire.Choices) == 1 {
		problem = chunk.addChoice(wire.Choices[0])
	}
	return chunk, problem
}

func (c *Chunk) addChoice(choice wireChoice) (problem string) {
	if choice.Index != 0 {
		return "a chunk has a choice with an index other than 0"
	}
	delta := choice.Delta
	c.FinishReason = choice.FinishReason
	c.Role = delta.Role
	c.Text = delta.Content + choice.Text // chat chunks use delta.content, completion chunks use text.
	c.TextOnly = !isSet(choice.Logprobs) && !isSet(delta.ToolCalls) && !isSet(delta.FunctionCall) &&
		delta.Refusal == "" && delta.ReasoningContent == ""
	return ""
}

func isSet(raw json.RawMessage) bool {
	return len(raw) > 0 && string(raw) != "null" && string(raw) != "[]"
}

// responseValidator checks the rules that apply across the chunks of one response.
type responseValidator struct {
	id       string
	hasText  bool
	finished bool
}

// validate returns the rule that the chunk violates at its position, or an empty string.
func (v *responseValidator) validate(c Chunk) (problem string) {
	if c.errorMessage != "" {
		return ""
	}
	if v.id == "" {
		v.id = c.ID
	}
	switch {
	case c.ID != v.id:
		return "a chunk belongs to another response"
	case v.finished && c.Choices > 0:
		return "the response continued after its finish reason"
	case v.hasText && c.Role != "" && c.Text == "" && c.FinishReason == "":
		return "the response started a second time"
	}
	v.hasText = v.hasText || c.Text != ""
	v.finished = v.finished || c.FinishReason != ""
	return ""
}
