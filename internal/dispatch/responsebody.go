package dispatch

import (
	"encoding/json"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/endpoint"
)

const finishLength = "length"

// usageChunk is the last chunk of a stream whose caller asked for usage.
type usageChunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []struct{}      `json:"choices"`
	Usage   *endpoint.Usage `json:"usage"`
}

// choice is the single choice of a response or chunk that the dispatcher encodes.
type choice struct {
	Index        int            `json:"index"`
	Message      map[string]any `json:"message,omitempty"`
	Delta        *struct{}      `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	Logprobs     any            `json:"logprobs"`
	FinishReason string         `json:"finish_reason"`
}

// completion is a complete response or a chunk that the dispatcher encodes.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *endpoint.Usage `json:"usage,omitempty"`
}

// objectType returns the "object" field, as defined by the OpenAI API.
func (r *response) objectType() string {
	switch {
	case !r.body.chat:
		return "text_completion"
	case r.request.Stream:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

// encode returns the complete response as one JSON object.
func (r *response) encode() []byte {
	one := choice{FinishReason: r.finishReason, Logprobs: r.extra.logprobs()}
	text := r.text.String()
	if r.body.chat {
		one.Message = r.extra.message()
		one.Message["role"] = lo.CoalesceOrEmpty(r.role, "assistant")
		one.Message["content"] = text
		if text == "" && len(one.Message) > 2 {
			one.Message["content"] = nil // the OpenAI API has null content in a message with tool calls only.
		}
	} else {
		one.Text = &text
	}
	return mustJSON(completion{
		ID: r.id, Object: r.objectType(), Created: r.created, Model: r.model, Choices: []choice{one}, Usage: r.totalUsage(),
	})
}

// finishChunk returns a final chunk that the dispatcher sends in place of the engine's.
func (r *response) finishChunk() completion {
	one := choice{FinishReason: r.finishReason}
	if r.body.chat {
		one.Delta = &struct{}{}
	} else {
		one.Text = lo.ToPtr("")
	}
	return completion{ID: r.id, Object: r.objectType(), Created: r.created, Model: r.model, Choices: []choice{one}}
}

// extraContent merges the non-text parts of chunks.
type extraContent struct {
	delta         map[string]any
	logprobFields map[string]any
	hasLogprobs   bool
}

type extraChunk struct {
	Choices []struct {
		Delta    map[string]any `json:"delta"`
		Logprobs map[string]any `json:"logprobs"`
	} `json:"choices"`
}

// add merges one chunk. The chunk was decoded when it was received, so decoding succeeds.
func (e *extraContent) add(data []byte) {
	var c extraChunk
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return
	}
	if e.delta == nil {
		e.delta, e.logprobFields = map[string]any{}, map[string]any{}
	}
	mergeObject(e.delta, c.Choices[0].Delta)
	if c.Choices[0].Logprobs != nil {
		e.hasLogprobs = true
		mergeObject(e.logprobFields, c.Choices[0].Logprobs)
	}
}

// message returns the merged fields of the message other than role and content.
func (e *extraContent) message() map[string]any {
	return lo.OmitByKeys(e.delta, []string{"role", "content"})
}

func (e *extraContent) logprobs() any {
	if !e.hasLogprobs {
		return nil
	}
	return e.logprobFields
}

// mergeObject merges the fields of src into dst: strings are concatenated, list items with
// an index are merged by it, other lists are appended.
func mergeObject(dst, src map[string]any) {
	for name, value := range src {
		switch v := value.(type) {
		case nil:
		case string:
			dst[name] = mergeText(name, dst[name], v)
		case []any:
			dst[name] = mergeList(dst[name], v)
		case map[string]any:
			inner, ok := dst[name].(map[string]any)
			if !ok {
				inner = map[string]any{}
				dst[name] = inner
			}
			mergeObject(inner, v)
		default:
			dst[name] = v
		}
	}
}

func mergeText(name string, old any, added string) string {
	before, _ := old.(string)
	switch name {
	case "id", "type", "role":
		return lo.CoalesceOrEmpty(before, added)
	default:
		return before + added
	}
}

func mergeList(old any, added []any) []any {
	list, _ := old.([]any)
	for _, item := range added {
		object, ok := item.(map[string]any)
		index, indexed := object["index"].(float64)
		if !ok || !indexed {
			list = append(list, item)
			continue
		}
		found, ok := findIndexed(list, index)
		if !ok {
			found = map[string]any{}
			list = append(list, found)
		}
		mergeObject(found, object)
	}
	return list
}

func findIndexed(list []any, index float64) (map[string]any, bool) {
	for _, item := range list {
		object, ok := item.(map[string]any)
		if ok && object["index"] == index {
			return object, true
		}
	}
	return nil, false
}
