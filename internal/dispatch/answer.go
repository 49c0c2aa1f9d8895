package dispatch

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/failure"
)

const (
	contentTypeStream = "text/event-stream"
	contentTypeJSON   = "application/json"
	endMark           = "data: [DONE]\n\n"
)

// answer builds the one answer that the caller sees from the chunks of one or more
// streams. The id, the time and the model are those of the first chunk.
type answer struct {
	request Request
	body    *engineBody
	sink    Sink

	id      string
	created int64
	model   string
	text    strings.Builder
	role    string
	finish  string
	// extra holds what is not text: tool calls, log probabilities and the like.
	extra    extraContent
	textOnly bool
	begun    bool
	// tokens counts those of all attempts whose text is part of the answer; carried
	// are those of earlier attempts.
	tokens  int
	carried int
	usage   *endpoint.Usage
	// held is the chunk with the finish reason. It is kept back until the end mark has
	// come, so that the caller never sees an end that is taken back.
	held *endpoint.Chunk
}

func newAnswer(request Request, body *engineBody, sink Sink) *answer {
	return &answer{request: request, body: body, sink: sink, textOnly: true}
}

// progress is what the answer holds so far.
func (a *answer) progress() progress { return progress{text: a.text.String(), tokens: a.tokens} }

// startAttempt prepares for the chunks of another stream. An answer that can not be
// resumed, and of which the caller has nothing, starts again.
func (a *answer) startAttempt(resumable bool) {
	if !resumable && !a.begun {
		fresh := newAnswer(a.request, a.body, a.sink)
		*a = *fresh
	}
	a.carried = a.tokens
	a.usage, a.held = nil, nil
}

// add takes the next chunk; an error means that the caller has gone.
func (a *answer) add(c endpoint.Chunk) error {
	if a.id == "" {
		a.id, a.created, a.model = c.ID, c.Created, c.Model
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	switch {
	case c.Choices == 0:
		return nil
	case c.FinishReason != "":
		a.held = &c
		return nil
	default:
		return a.take(c)
	}
}

// take makes a chunk part of the answer.
func (a *answer) take(c endpoint.Chunk) error {
	resumedRole := a.carried > 0 && c.Text == "" && c.Role != "" && c.FinishReason == ""
	a.text.WriteString(c.Text)
	if c.Text != "" || !c.TextOnly {
		a.tokens++
	}
	if c.Role != "" {
		a.role = c.Role
	}
	a.finish = c.FinishReason
	a.textOnly = a.textOnly && c.TextOnly
	if !a.request.Stream {
		if !a.textOnly {
			a.extra.add(c.Data)
		}
		return nil
	}
	if resumedRole {
		return nil
	}
	return a.send(c)
}

// send passes a chunk on. The first one begins the answer.
func (a *answer) send(c endpoint.Chunk) error {
	data := c.Data
	if c.ID != a.id || c.Usage != nil {
		data = rewriteChunk(data, a.id, a.created)
	}
	a.begin(contentTypeStream)
	return a.event(data)
}

func (a *answer) begin(contentType string) {
	if !a.begun {
		a.begun = true
		a.sink.Begin(http.StatusOK, contentType)
	}
}

func (a *answer) event(data []byte) error {
	line := make([]byte, 0, len("data: \n\n")+len(data))
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	return a.sink.Write(line)
}

// rewriteChunk makes a chunk of a later stream part of the first one.
func rewriteChunk(data []byte, id string, created int64) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return data // parsed before; it always decodes.
	}
	fields["id"] = mustJSON(id)
	fields["created"] = mustJSON(created)
	delete(fields, "usage")
	return mustJSON(fields)
}

// end finishes a whole answer.
func (a *answer) end() error {
	if a.held != nil {
		if err := a.take(*a.held); err != nil {
			return err
		}
	}
	if !a.request.Stream {
		a.begin(contentTypeJSON)
		return a.sink.Write(a.whole())
	}
	a.begin(contentTypeStream)
	if usage := a.totalUsage(); usage != nil && a.body.includeUsage {
		chunk := usageChunk{ID: a.id, Object: a.object(), Created: a.created, Model: a.model, Choices: []struct{}{}, Usage: usage}
		if err := a.event(mustJSON(chunk)); err != nil {
			return err
		}
	}
	return a.sink.Write([]byte(endMark))
}

// cutShort ends an answer whose token limit was reached when its endpoint crashed.
func (a *answer) cutShort() error {
	a.finish = finishLength
	if a.request.Stream {
		if err := a.event(mustJSON(a.finishChunk())); err != nil {
			return err
		}
	}
	return a.end()
}

// fail ends a begun stream with a typed error event. There is no end mark after it.
func (a *answer) fail(f *failure.Failure) (typedEnd bool) {
	if !a.begun || !a.request.Stream {
		return false
	}
	event := append([]byte("event: error\ndata: "), failure.Body(f, a.request.ID)...)
	return a.sink.Write(append(event, "\n\n"...)) == nil
}

// totalUsage adds up the attempts. Tokens that a crashed engine did not count itself are
// counted by chunks.
func (a *answer) totalUsage() *endpoint.Usage {
	if a.usage == nil {
		return nil
	}
	total := *a.usage
	total.CompletionTokens += a.carried
	total.PromptTokens = max(0, total.PromptTokens-a.carried)
	total.TotalTokens = total.PromptTokens + total.CompletionTokens
	return &total
}

// outputTokens is the length of the answer, by the engine's own count where there is one.
func (a *answer) outputTokens() int {
	if a.usage != nil {
		return a.carried + a.usage.CompletionTokens
	}
	return a.tokens
}
