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

// choice is the one choice of an answer that the router writes itself.
type choice struct {
	Index        int            `json:"index"`
	Message      map[string]any `json:"message,omitempty"`
	Delta        *struct{}      `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	Logprobs     any            `json:"logprobs"`
	FinishReason string         `json:"finish_reason"`
}

// completion is a whole answer, or a chunk that the router writes itself.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *endpoint.Usage `json:"usage,omitempty"`
}

// object names the type of the answer, as the OpenAI API publishes it.
func (a *answer) object() string {
	switch {
	case !a.body.chat:
		return "text_completion"
	case a.request.Stream:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

// whole renders the answer in one piece.
func (a *answer) whole() []byte {
	one := choice{FinishReason: a.finish, Logprobs: a.extra.logprobs()}
	text := a.text.String()
	if a.body.chat {
		one.Message = a.extra.message()
		one.Message["role"] = lo.CoalesceOrEmpty(a.role, "assistant")
		one.Message["content"] = text
		if text == "" && len(one.Message) > 2 {
			one.Message["content"] = nil // the published form of an answer of tool calls alone.
		}
	} else {
		one.Text = &text
	}
	return mustJSON(completion{
		ID: a.id, Object: a.object(), Created: a.created, Model: a.model, Choices: []choice{one}, Usage: a.totalUsage(),
	})
}

// finishChunk ends a stream by the router's own word.
func (a *answer) finishChunk() completion {
	one := choice{FinishReason: a.finish}
	if a.body.chat {
		one.Delta = &struct{}{}
	} else {
		one.Text = lo.ToPtr("")
	}
	return completion{ID: a.id, Object: a.object(), Created: a.created, Model: a.model, Choices: []choice{one}}
}

// extraContent merges the parts of chunks that are no plain text.
type extraContent struct {
	delta    map[string]any
	logprob  map[string]any
	hasProbs bool
}

type extraChunk struct {
	Choices []struct {
		Delta    map[string]any `json:"delta"`
		Logprobs map[string]any `json:"logprobs"`
	} `json:"choices"`
}

// add merges one chunk; it was parsed before and always decodes.
func (e *extraContent) add(data []byte) {
	var c extraChunk
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return
	}
	if e.delta == nil {
		e.delta, e.logprob = map[string]any{}, map[string]any{}
	}
	mergeObject(e.delta, c.Choices[0].Delta)
	if c.Choices[0].Logprobs != nil {
		e.hasProbs = true
		mergeObject(e.logprob, c.Choices[0].Logprobs)
	}
}

// message returns the merged fields of the message.
func (e *extraContent) message() map[string]any {
	return lo.OmitByKeys(e.delta, []string{"role", "content"})
}

func (e *extraContent) logprobs() any {
	if !e.hasProbs {
		return nil
	}
	return e.logprob
}

// mergeObject appends the fields of src to those of dst: text is joined, lists with an
// index are merged by it, other lists are joined.
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
