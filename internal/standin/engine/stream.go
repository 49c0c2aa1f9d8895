package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// settleTime lets the bytes before a crash reach the client; a reset may discard them.
const settleTime = 20 * time.Millisecond

// answer writes one answer.
type answer struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	q      *sequence
	chat   bool
	model  string
	usage  bool
	id     string
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a *answer) stream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	if a.chat {
		a.send(a.role())
	}
	sent := 0
	for {
		token, more := a.next()
		if !more {
			break
		}
		sent++
		a.send(a.part(token, nil))
		if ended := a.meetFault(a.server.tokenFault(sent)); ended {
			return
		}
	}
	reason := a.q.finishReason(a.server.options)
	a.send(a.part("", &reason))
	if a.server.currentFaults().Doubled {
		a.send(a.part(word(a.q.digest, a.q.run.Resumed), nil))
	}
	if a.usage {
		a.send(chunk{ID: a.id, Object: a.object(true), Created: time.Now().Unix(), Model: a.model, Choices: []choice{}, Usage: a.counts()})
	}
	a.server.finish(a.q.run, func(run *Run) { run.Completed = true })
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
	a.flush()
}

// next returns the next token; it aborts the handler when the client left or the engine crashed.
func (a *answer) next() (token string, more bool) {
	select {
	case token, more = <-a.q.tokens:
		return token, more
	case <-a.r.Context().Done():
		a.server.finish(a.q.run, func(run *Run) { run.Cancelled = true })
	case <-a.q.dropped:
		a.server.finish(a.q.run, func(*Run) {})
	}
	panic(http.ErrAbortHandler)
}

// meetFault applies a fault that strikes mid-answer and reports whether the answer ends there.
func (a *answer) meetFault(f fault) bool {
	switch f {
	case crash:
		time.Sleep(settleTime)
		a.server.Crash(a.server.currentFaults().downFor())
		panic(http.ErrAbortHandler)
	case silence:
		<-a.r.Context().Done()
		a.server.finish(a.q.run, func(run *Run) { run.Cancelled = true })
		return true
	case half:
		a.server.finish(a.q.run, func(*Run) {})
		return true
	case crossed:
		other := a.part(" crossed", nil)
		other.ID = a.chunkID(crossed)
		a.send(other)
	case doubled:
		a.send(a.role())
		a.send(a.part(word(a.q.digest, a.q.run.Resumed), nil))
	case garbage:
		_, _ = a.w.Write([]byte("data: {\"id\":\x00\xff}\n\n"))
		a.flush()
	case none:
	}
	return false
}

func (a *answer) whole() {
	var text strings.Builder
	for {
		token, more := a.next()
		if !more {
			break
		}
		text.WriteString(token)
	}
	reason := a.q.finishReason(a.server.options)
	whole := chunk{ID: a.id, Object: a.object(false), Created: time.Now().Unix(), Model: a.model, Usage: a.counts()}
	one := choice{FinishReason: &reason}
	content := text.String()
	if a.chat {
		one.Message = &Message{Role: "assistant", Content: content}
	} else {
		one.Text = &content
	}
	whole.Choices = []choice{one}
	a.server.finish(a.q.run, func(run *Run) { run.Completed = true })
	writeJSON(a.w, http.StatusOK, whole)
}

func (a *answer) part(token string, reason *string) chunk {
	one := choice{FinishReason: reason}
	if a.chat {
		one.Delta = &Message{Content: token}
	} else {
		one.Text = &token
	}
	return chunk{ID: a.id, Object: a.object(true), Created: time.Now().Unix(), Model: a.model, Choices: []choice{one}}
}

// role is the first chunk of a chat answer.
func (a *answer) role() chunk {
	first := a.part("", nil)
	if a.chat {
		first.Choices[0].Delta.Role = "assistant"
	}
	return first
}

func (a *answer) object(stream bool) string {
	switch {
	case !a.chat:
		return "text_completion"
	case stream:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

func (a *answer) counts() *usage {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	read := promptTokens(a.q.prompt) + a.q.run.Resumed
	return &usage{
		PromptTokens: read, CompletionTokens: a.q.run.Tokens, TotalTokens: read + a.q.run.Tokens,
		Details: usageDetails{CachedTokens: a.q.cached},
	}
}

func (a *answer) send(c chunk) {
	data, _ := json.Marshal(c)
	_, _ = a.w.Write([]byte("data: " + string(data) + "\n\n"))
	a.flush()
}

func (a *answer) flush() {
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
