package endpoint

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/tmaxmax/go-sse"
)

// Usage counts the tokens of one call, as the OpenAI API publishes it.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails says how much of the prompt was cached.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one event of a streamed answer. It owns its memory.
type Chunk struct {
	ID      string
	Created int64
	Model   string
	// Text is what the chunk adds to the answer.
	Text string
	// Role is set on the first chunk of a chat answer.
	Role string
	// FinishReason is set on the last chunk with a choice.
	FinishReason string
	// Usage is set on the chunk that counts the tokens.
	Usage *Usage
	// Choices counts the choices in the chunk: none or one.
	Choices int
	// TextOnly is false for a chunk with tool calls, log probabilities and the like;
	// such an answer can not be resumed.
	TextOnly bool
	// Data is the chunk as it came.
	Data []byte

	errorMessage string
}

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

// parseChunk reads one event; problem is empty for a sound chunk.
func parseChunk(event sse.Event) (chunk Chunk, problem string) {
	data := []byte(event.Data)
	if !utf8.Valid(data) {
		return Chunk{}, "a chunk is no UTF-8"
	}
	var wire wireChunk
	if err := json.Unmarshal(data, &wire); err != nil {
		return Chunk{}, "a chunk is no JSON object"
	}
	if isSet(wire.Error) || event.Type == "error" {
		return Chunk{errorMessage: errorMessage(data, "the engine ended the answer with an error")}, ""
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
		return "a chunk has a choice that was not asked for"
	}
	delta := choice.Delta
	c.FinishReason = choice.FinishReason
	c.Role = delta.Role
	c.Text = delta.Content + choice.Text // a chat has the one, a completion the other.
	c.TextOnly = !isSet(choice.Logprobs) && !isSet(delta.ToolCalls) && !isSet(delta.FunctionCall) &&
		delta.Refusal == "" && delta.ReasoningContent == ""
	return ""
}

func isSet(raw json.RawMessage) bool {
	return len(raw) > 0 && string(raw) != "null" && string(raw) != "[]"
}

// answerCheck holds the rules that span the chunks of one answer.
type answerCheck struct {
	id       string
	text     bool
	finished bool
}

// add returns what is wrong with the chunk in its place, or nothing.
func (a *answerCheck) add(c Chunk) (problem string) {
	if c.errorMessage != "" {
		return ""
	}
	if a.id == "" {
		a.id = c.ID
	}
	switch {
	case c.ID != a.id:
		return "a chunk belongs to another answer"
	case a.finished && c.Choices > 0:
		return "the answer went on after its finish reason"
	case a.text && c.Role != "" && c.Text == "" && c.FinishReason == "":
		return "the answer began a second time"
	}
	a.text = a.text || c.Text != ""
	a.finished = a.finished || c.FinishReason != ""
	return ""
}
