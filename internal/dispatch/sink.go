package dispatch

// keepingSink passes an answer on and remembers it, up to a limit.
type keepingSink struct {
	sink  Sink
	limit int
	keep  bool

	answer StoredResponse
	begun  bool
	tooBig bool
	gone   error
}

// Begin implements Sink.
func (s *keepingSink) Begin(status int, contentType string) {
	s.begun = true
	s.answer.Status, s.answer.ContentType = status, contentType
	s.sink.Begin(status, contentType)
}

// Write implements Sink. Kept work goes on without its caller, so for it a caller
// that has gone is no error.
func (s *keepingSink) Write(p []byte) error {
	if s.keep {
		s.remember(p)
	}
	if s.gone == nil {
		s.gone = s.sink.Write(p)
	}
	if s.keep {
		return nil
	}
	return s.gone
}

func (s *keepingSink) remember(p []byte) {
	if s.tooBig || len(s.answer.Body)+len(p) > s.limit {
		s.tooBig, s.answer.Body = true, nil
		return
	}
	s.answer.Body = append(s.answer.Body, p...)
}

// kept returns the answer, or nil if it was larger than the limit.
func (s *keepingSink) kept() *StoredResponse {
	if s.tooBig {
		return nil
	}
	answer := s.answer
	return &answer
}
