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

// body is what the engine reads of a request.
type body struct {
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
	s.handle(w, r, true, func(b body) (string, int, error) {
		if b.ContinueFinal != (b.AddGenerationPrompt != nil && !*b.AddGenerationPrompt) {
			return "", 0, errContinue
		}
		if !b.ContinueFinal {
			return chatPrompt(b.Messages), 0, nil
		}
		if len(b.Messages) == 0 || lo.LastOrEmpty(b.Messages).Role != "assistant" {
			return "", 0, errContinue
		}
		_, tokens := splitGenerated(lo.LastOrEmpty(b.Messages).Content)
		return chatPrompt(lo.DropRight(b.Messages, 1)), tokens, nil
	})
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	s.handle(w, r, false, func(b body) (string, int, error) {
		text, tokens := splitGenerated(b.Prompt)
		return text, tokens, nil
	})
}

// requestError is a fault of the request itself.
type requestError string

func (e requestError) Error() string { return string(e) }

const errContinue = requestError("continue_final_message needs add_generation_prompt false and a final assistant message")

func (s *Server) handle(w http.ResponseWriter, r *http.Request, chat bool, read func(body) (string, int, error)) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // the connection ended; the request was not taken.
	}
	var b body
	run := &Run{
		RequestID: r.Header.Get("X-Request-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"), Arrived: time.Now(),
	}
	if err := json.Unmarshal(raw, &b); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	text, resumed, err := read(b)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	run.Digest, run.Model, run.Priority, run.Resumed = Digest(text), b.Model, b.Priority, resumed
	s.record(run)
	if s.meetArrivalFault(w, r, run) {
		return
	}
	q := s.newSequence(b, text, resumed, run)
	if !s.enqueue(q) {
		s.finish(run, func(run *Run) { run.Refused = true })
		writeError(w, http.StatusServiceUnavailable, "the queue is full")
		return
	}
	defer s.cancel(q)
	a := &answer{server: s, w: w, r: r, q: q, chat: chat, model: b.Model, usage: b.StreamOptions.IncludeUsage, id: "cmpl-" + uuid.NewString()}
	if b.Stream {
		a.stream()
	} else {
		a.whole()
	}
}

// meetArrivalFault applies faults that strike before the answer, and reports whether one did.
func (s *Server) meetArrivalFault(w http.ResponseWriter, r *http.Request, run *Run) bool {
	f, hit := s.arrivalFault()
	switch {
	case !hit:
		return false
	case f.Refuse:
		s.finish(run, func(run *Run) { run.Refused = true })
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "refused before starting")
	case f.CrashOnArrival:
		s.Crash(f.downFor())
		panic(http.ErrAbortHandler)
	default: // silent on arrival.
		<-r.Context().Done()
		s.finish(run, func(run *Run) { run.Cancelled = true })
	}
	return true
}

func (s *Server) newSequence(b body, text string, resumed int, run *Run) *sequence {
	digest := xxhash.Sum64String(text)
	end := s.options.answerLength(digest)
	if limit := lo.CoalesceOrEmpty(b.MaxCompletionTokens, b.MaxTokens); limit > 0 {
		end = min(end, resumed+limit)
	}
	return &sequence{
		priority: b.Priority, prompt: text, digest: digest, next: resumed, end: end, run: run,
		tokens: make(chan string, max(1, end-resumed)), dropped: make(chan struct{}),
	}
}

func (q *sequence) finishReason(o Options) string {
	if q.end < o.answerLength(q.digest) {
		return "length"
	}
	return "stop"
}

func (a *answer) chunkID(f fault) string {
	if f == crossed {
		return "cmpl-" + fmt.Sprintf("%032x", a.q.digest)
	}
	return a.id
}
