package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
)

// maxFuzzChunks is the maximum number of chunks read from one input; each chunk takes
// at least one byte.
const maxFuzzChunks = 1 << 20

// FuzzStream feeds arbitrary bytes to the reader of streamed responses. It must not panic,
// must end, and may report a response as complete only if it has the [DONE] marker.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"a\",\"choices\":[{\"index\":0,\"text\":\"x\"}]}\n\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Add([]byte(": ping\n\nevent: error\ndata: {\"error\":{\"message\":\"out of memory\"}}\n\n"))
	f.Add([]byte("data: {\"id\":\x00\xff}\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		x := newExchange(context.Background(), "fuzz", 0)
		s := newStream(x, io.NopCloser(bytes.NewReader(data)), DefaultMaxPreambleBytes, DefaultMaxStreamBytes)
		defer s.Close()
		for range maxFuzzChunks {
			chunk, err := s.Next()
			if errors.Is(err, io.EOF) {
				if !bytes.Contains(data, []byte(doneMarker)) {
					t.Fatal("complete without the [DONE] marker")
				}
				return
			}
			var failed *Error
			if err != nil && !errors.As(err, &failed) {
				t.Fatalf("untyped error %T", err)
			}
			if err != nil {
				return
			}
			if chunk.ID == "" {
				t.Fatal("chunk without an id")
			}
		}
		t.Fatal("the stream did not end")
	})
}
