package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
)

// maxFuzzChunks bounds one input; each chunk takes at least a byte of it.
const maxFuzzChunks = 1 << 20

// FuzzStream feeds any bytes to the reader of streamed answers. It must not panic, must
// end, and may call an answer whole only if it holds the end mark.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"a\",\"choices\":[{\"index\":0,\"text\":\"x\"}]}\n\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Add([]byte(": ping\n\nevent: error\ndata: {\"error\":{\"message\":\"out of memory\"}}\n\n"))
	f.Add([]byte("data: {\"id\":\x00\xff}\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		x := newExchange(context.Background(), "fuzz", 0)
		s := newStream(x, io.NopCloser(bytes.NewReader(data)))
		defer s.Close()
		for range maxFuzzChunks {
			chunk, err := s.Next()
			if errors.Is(err, io.EOF) {
				if !bytes.Contains(data, []byte(doneMark)) {
					t.Fatal("whole without an end mark")
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
				t.Fatal("a chunk without an id")
			}
		}
		t.Fatal("the stream did not end")
	})
}
