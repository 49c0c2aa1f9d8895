package dispatch

// recordingSink forwards a response to the caller and, for keyed requests, records it up
// to a size limit.
type recordingSink struct {
	sink      Sink
	limit     int
	recording bool
	// unattended is how many bytes may still be written after the caller has disconnected.
	unattended int

	response  StoredResponse
	started   bool
	overLimit bool
	writeErr  error
}

// Begin implements Sink.
func (s *recordingSink) Begin(status int, contentType string) {
	s.started = true
	s.response.Status, s.response.ContentType = status, contentType
	s.sink.Begin(status, contentType)
}

// Write implements Sink. A keyed request continues without its caller, so a disconnected
// caller is not an error while recording, until the response is too long to go on with.
func (s *recordingSink) Write(p []byte) error {
	if s.recording {
		s.record(p)
	}
	if s.writeErr == nil {
		s.writeErr = s.sink.Write(p)
	}
	if s.writeErr == nil || !s.recording {
		return s.writeErr
	}
	s.unattended -= len(p)
	if s.unattended < 0 {
		return s.writeErr
	}
	return nil
}

func (s *recordingSink) record(p []byte) {
	if s.overLimit || len(s.response.Body)+len(p) > s.limit {
		s.overLimit, s.response.Body = true, nil
		return
	}
	s.response.Body = append(s.response.Body, p...)
}

// stored returns the recorded response, or nil if it exceeded the limit.
func (s *recordingSink) stored() *StoredResponse {
	if s.overLimit {
		return nil
	}
	response := s.response
	return &response
}
