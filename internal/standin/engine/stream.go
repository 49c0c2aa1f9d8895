package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// flushDelay is the wait before a crash in which the bytes already sent reach the client;
// a connection reset may discard them.
const flushDelay = 20 * time.Millisecond

// responseWriter writes the response to one request, streamed or complete.
type responseWriter struct {
	server       *Server
	w            http.ResponseWriter
	r            *http.Request
	seq          *sequence
	chat         bool
	model        string
	includeUsage bool
	id           string
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

func (rw *responseWriter) sendStream() {
	rw.w.Header().Set("Content-Type", "text/event-stream")
	rw.w.WriteHeader(http.StatusOK)
	rw.flush()
	if rw.chat {
		rw.sendChunk(rw.roleChunk())
	}
	sent := 0
	for {
		token, more := rw.nextToken()
		if !more {
			break
		}
		sent++
		rw.sendChunk(rw.newChunk(token, nil))
		if ended := rw.injectTokenFault(rw.server.tokenFault(sent)); ended {
			return
		}
	}
	reason := rw.seq.finishReason(rw.server.options)
	rw.sendChunk(rw.newChunk("", &reason))
	if rw.server.currentFaults().Doubled {
		rw.sendChunk(rw.newChunk(tokenText(rw.seq.digest, rw.seq.run.Resumed), nil))
	}
	if rw.includeUsage {
		rw.sendChunk(chunk{ID: rw.id, Object: rw.object(true), Created: time.Now().Unix(), Model: rw.model, Choices: []choice{}, Usage: rw.tokenUsage()})
	}
	rw.server.finishRun(rw.seq.run, func(run *Run) { run.Completed = true })
	_, _ = rw.w.Write([]byte("data: [DONE]\n\n"))
	rw.flush()
}

// nextToken returns the next token; it aborts the handler when the client disconnected
// or the engine crashed.
func (rw *responseWriter) nextToken() (token string, more bool) {
	select {
	case token, more = <-rw.seq.tokens:
		return token, more
	case <-rw.r.Context().Done():
		rw.server.finishRun(rw.seq.run, func(run *Run) { run.Cancelled = true })
	case <-rw.seq.aborted:
		rw.server.finishRun(rw.seq.run, func(*Run) {})
	}
	panic(http.ErrAbortHandler)
}

// injectTokenFault applies a fault after a token of the stream and reports whether the
// response ends there.
func (rw *responseWriter) injectTokenFault(f tokenFaultKind) bool {
	switch f {
	case faultCrash:
		time.Sleep(flushDelay)
		rw.server.Crash(rw.server.currentFaults().downFor())
		panic(http.ErrAbortHandler)
	case faultSilence:
		<-rw.r.Context().Done()
		rw.server.finishRun(rw.seq.run, func(run *Run) { run.Cancelled = true })
		return true
	case faultTruncate:
		rw.server.finishRun(rw.seq.run, func(*Run) {})
		return true
	case faultWrongID:
		other := rw.newChunk(" crossed", nil)
		other.ID = rw.chunkID(faultWrongID)
		rw.sendChunk(other)
	case faultRestart:
		rw.sendChunk(rw.roleChunk())
		rw.sendChunk(rw.newChunk(tokenText(rw.seq.digest, rw.seq.run.Resumed), nil))
	case faultGarbage:
		_, _ = rw.w.Write([]byte("data: {\"id\":\x00\xff}\n\n"))
		rw.flush()
	case faultNone:
	}
	return false
}

func (rw *responseWriter) sendComplete() {
	var text strings.Builder
	for {
		token, more := rw.nextToken()
		if !more {
			break
		}
		text.WriteString(token)
	}
	reason := rw.seq.finishReason(rw.server.options)
	response := chunk{ID: rw.id, Object: rw.object(false), Created: time.Now().Unix(), Model: rw.model, Usage: rw.tokenUsage()}
	one := choice{FinishReason: &reason}
	content := text.String()
	if rw.chat {
		one.Message = &Message{Role: "assistant", Content: content}
	} else {
		one.Text = &content
	}
	response.Choices = []choice{one}
	rw.server.finishRun(rw.seq.run, func(run *Run) { run.Completed = true })
	writeJSON(rw.w, http.StatusOK, response)
}

func (rw *responseWriter) newChunk(token string, reason *string) chunk {
	one := choice{FinishReason: reason}
	if rw.chat {
		one.Delta = &Message{Content: token}
	} else {
		one.Text = &token
	}
	return chunk{ID: rw.id, Object: rw.object(true), Created: time.Now().Unix(), Model: rw.model, Choices: []choice{one}}
}

// roleChunk returns the first chunk of a chat response, which names the role.
func (rw *responseWriter) roleChunk() chunk {
	first := rw.newChunk("", nil)
	if rw.chat {
		first.Choices[0].Delta.Role = "assistant"
	}
	return first
}

func (rw *responseWriter) object(stream bool) string {
	switch {
	case !rw.chat:
		return "text_completion"
	case stream:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

func (rw *responseWriter) tokenUsage() *usage {
	rw.server.mu.Lock()
	defer rw.server.mu.Unlock()
	promptCount := promptTokens(rw.seq.prompt) + rw.seq.run.Resumed
	return &usage{
		PromptTokens: promptCount, CompletionTokens: rw.seq.run.Tokens, TotalTokens: promptCount + rw.seq.run.Tokens,
		Details: usageDetails{CachedTokens: rw.seq.cachedTokens},
	}
}

func (rw *responseWriter) sendChunk(c chunk) {
	data, _ := json.Marshal(c)
	_, _ = rw.w.Write([]byte("data: " + string(data) + "\n\n"))
	rw.flush()
}

func (rw *responseWriter) flush() {
	if f, ok := rw.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
