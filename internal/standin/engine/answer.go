package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/samber/lo"
)

// requestBody holds the request fields that the engine reads.
type requestBody struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Prompt              string    `json:"prompt"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Priority            int       `json:"priority"`
	ContinueFinal       bool      `json:"continue_final_message"`
	AddGenerationPrompt *bool     `json:"add_generation_prompt"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	s.handle(w, r, true, func(b requestBody) (string, int, error) {
		if b.ContinueFinal != (b.AddGenerationPrompt != nil && !*b.AddGenerationPrompt) {
			return "", 0, errInvalidContinuation
		}
		if !b.ContinueFinal {
			return chatPrompt(b.Messages), 0, nil
		}
		if len(b.Messages) == 0 || lo.LastOrEmpty(b.Messages).Role != "assistant" {
			return "", 0, errInvalidContinuation
		}
		_, tokens := splitGenerated(lo.LastOrEmpty(b.Messages).Content)
		return chatPrompt(lo.DropRight(b.Messages, 1)), tokens, nil
	})
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	s.handle(w, r, false, func(b requestBody) (string, int, error) {
		text, tokens := splitGenerated(b.Prompt)
		return text, tokens, nil
	})
}

// requestError is an error in the request, which the client gets with status 400.
type requestError string

func (e requestError) Error() string { return string(e) }

const errInvalidContinuation = requestError("continue_final_message needs add_generation_prompt false and a final assistant message")

func (s *Server) handle(w http.ResponseWriter, r *http.Request, chat bool, parsePrompt func(requestBody) (string, int, error)) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // connection ended or body too large; the request is not recorded.
	}
	var b requestBody
	run := &Run{
		RequestID: r.Header.Get("X-Request-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"), Arrived: time.Now(),
	}
	if err := json.Unmarshal(raw, &b); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	text, resumed, err := parsePrompt(b)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	run.Digest, run.Model, run.Priority, run.Resumed = Digest(text), b.Model, b.Priority, resumed
	s.recordRun(run)
	if s.injectArrivalFault(w, r, run) {
		return
	}
	q := s.newSequence(b, text, resumed, run)
	if !s.enqueue(q) {
		s.finishRun(run, func(run *Run) { run.Refused = true })
		writeError(w, http.StatusServiceUnavailable, "the queue is full")
		return
	}
	defer s.cancel(q)
	rw := &responseWriter{server: s, w: w, r: r, seq: q, chat: chat, model: b.Model, includeUsage: b.StreamOptions.IncludeUsage, id: "cmpl-" + uuid.NewString()}
	if b.Stream {
		rw.sendStream()
	} else {
		rw.sendComplete()
	}
}

// injectArrivalFault applies a fault that takes effect before the response, and reports
// whether it did.
func (s *Server) injectArrivalFault(w http.ResponseWriter, r *http.Request, run *Run) bool {
	f, hit := s.arrivalFault()
	switch {
	case !hit:
		return false
	case f.Refuse:
		s.finishRun(run, func(run *Run) { run.Refused = true })
		if w.Header().Get("Retry-After") == "" {
			w.Header().Set("Retry-After", "1")
		}
		writeError(w, http.StatusServiceUnavailable, "refused before starting")
	case f.CrashOnArrival:
		s.Crash(f.downFor())
		panic(http.ErrAbortHandler)
	default: // SilentOnArrival.
		<-r.Context().Done()
		s.finishRun(run, func(run *Run) { run.Cancelled = true })
	}
	return true
}

func (s *Server) newSequence(b requestBody, text string, resumed int, run *Run) *sequence {
	digest := xxhash.Sum64String(text)
	end := s.options.responseLength(digest)
	if limit := lo.CoalesceOrEmpty(b.MaxCompletionTokens, b.MaxTokens); limit > 0 {
		end = min(end, resumed+limit)
	}
	return &sequence{
		priority: b.Priority, prompt: text, digest: digest, nextIndex: resumed, endIndex: end, run: run,
		tokens: make(chan string, max(1, end-resumed)), aborted: make(chan struct{}),
	}
}

func (q *sequence) finishReason(o Options) string {
	if q.endIndex < o.responseLength(q.digest) {
		return "length"
	}
	return "stop"
}

func (rw *responseWriter) chunkID(f tokenFaultKind) string {
	if f == faultWrongID {
		return "cmpl-" + fmt.Sprintf("%032x", rw.seq.digest)
	}
	return rw.id
}
