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
	doneEvent         = "data: [DONE]\n\n"
)

// response assembles the single response that the caller sees from the chunks of one or
// more streams. The ID, creation time and model are those of the first chunk.
type response struct {
	request Request
	body    *engineBody
	sink    Sink

	id           string
	created      int64
	model        string
	text         strings.Builder
	role         string
	finishReason string
	// extra holds everything other than text, such as tool calls and log probabilities.
	extra    extraContent
	textOnly bool
	started  bool
	// roleSent is true once the caller has received a chunk with the role.
	roleSent bool
	// tokens counts the tokens of all attempts whose text is part of the response;
	// priorTokens counts those of attempts before the current one.
	tokens      int
	priorTokens int
	usage       *endpoint.Usage
	// pendingFinish is the chunk with the finish reason. It is held back until the end of
	// the stream is confirmed, so that the caller never sees an end that is then revoked.
	pendingFinish *endpoint.Chunk
}

func newResponse(request Request, body *engineBody, sink Sink) *response {
	return &response{request: request, body: body, sink: sink, textOnly: true}
}

// progress returns the text and the token count of the response so far.
func (r *response) progress() progress { return progress{text: r.text.String(), tokens: r.tokens} }

// startAttempt prepares for the chunks of another stream. A response that can not be
// resumed, and of which the caller has received nothing, is reset.
func (r *response) startAttempt(resumable bool) {
	if !resumable && !r.started {
		fresh := newResponse(r.request, r.body, r.sink)
		*r = *fresh
	}
	r.priorTokens = r.tokens
	r.usage, r.pendingFinish = nil, nil
}

// addChunk processes the next chunk; an error means that the caller has disconnected.
func (r *response) addChunk(c endpoint.Chunk) error {
	if r.id == "" {
		r.id, r.created, r.model = c.ID, c.Created, c.Model
	}
	if c.Usage != nil {
		r.usage = c.Usage
	}
	switch {
	case c.Choices == 0:
		return nil
	case c.FinishReason != "":
		r.pendingFinish = &c
		return nil
	default:
		return r.appendChunk(c)
	}
}

// appendChunk appends a chunk to the response and sends it if the response is streamed.
func (r *response) appendChunk(c endpoint.Chunk) error {
	repeatedRole := r.roleSent && c.TextOnly && c.Text == "" && c.Role != "" && c.FinishReason == ""
	r.text.WriteString(c.Text)
	if c.HasContent() {
		r.tokens++
	}
	if c.Role != "" {
		r.role = c.Role
	}
	r.finishReason = c.FinishReason
	r.textOnly = r.textOnly && c.TextOnly
	if !r.request.Stream {
		if !r.textOnly {
			r.extra.add(c.Data)
		}
		return nil
	}
	if repeatedRole {
		return nil
	}
	r.roleSent = r.roleSent || c.Role != ""
	return r.sendChunk(c)
}

// sendChunk sends a chunk to the caller. The first one starts the response.
func (r *response) sendChunk(c endpoint.Chunk) error {
	data := c.Data
	if c.ID != r.id || c.Usage != nil {
		data = rewriteChunk(data, r.id, r.created)
	}
	r.begin(contentTypeStream)
	return r.writeEvent(data)
}

func (r *response) begin(contentType string) {
	if !r.started {
		r.started = true
		r.sink.Begin(http.StatusOK, contentType)
	}
}

func (r *response) writeEvent(data []byte) error {
	event := make([]byte, 0, len("data: \n\n")+len(data))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	return r.sink.Write(event)
}

// rewriteChunk gives a chunk the ID and creation time of the first stream and removes its
// usage.
func rewriteChunk(data []byte, id string, created int64) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return data // unreachable: the chunk was decoded when it was received.
	}
	fields["id"] = mustJSON(id)
	fields["created"] = mustJSON(created)
	delete(fields, "usage")
	return mustJSON(fields)
}

// complete sends the rest of a complete response.
func (r *response) complete() error {
	if r.pendingFinish != nil {
		if err := r.appendChunk(*r.pendingFinish); err != nil {
			return err
		}
	}
	if !r.request.Stream {
		r.begin(contentTypeJSON)
		return r.sink.Write(r.encode())
	}
	r.begin(contentTypeStream)
	if usage := r.totalUsage(); usage != nil && r.body.includeUsage {
		chunk := usageChunk{ID: r.id, Object: r.objectType(), Created: r.created, Model: r.model, Choices: []struct{}{}, Usage: usage}
		if err := r.writeEvent(mustJSON(chunk)); err != nil {
			return err
		}
	}
	return r.sink.Write([]byte(doneEvent))
}

// completeAtTokenLimit completes a response that had reached its token limit when its
// endpoint failed.
func (r *response) completeAtTokenLimit() error {
	r.finishReason, r.pendingFinish = finishLength, nil
	if r.request.Stream {
		if err := r.writeEvent(mustJSON(r.finishChunk())); err != nil {
			return err
		}
	}
	return r.complete()
}

// sendError ends a started stream with an error event. No [DONE] event follows it.
func (r *response) sendError(f *failure.Failure) (errorEventSent bool) {
	if !r.started || !r.request.Stream {
		return false
	}
	event := append([]byte("event: error\ndata: "), failure.Body(f, r.request.ID)...)
	return r.sink.Write(append(event, "\n\n"...)) == nil
}

// totalUsage returns the usage over all attempts. The output of a failed attempt is counted
// in chunks, because its engine reported no usage.
func (r *response) totalUsage() *endpoint.Usage {
	if r.usage == nil {
		return nil
	}
	total := *r.usage
	total.CompletionTokens += r.priorTokens
	total.PromptTokens = max(0, total.PromptTokens-r.priorTokens)
	total.TotalTokens = total.PromptTokens + total.CompletionTokens
	return &total
}

// outputTokens is the length of the response in tokens, as reported by the engine if available.
func (r *response) outputTokens() int {
	if r.usage != nil {
		return r.priorTokens + r.usage.CompletionTokens
	}
	return r.tokens
}
