package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"testing"
)

// BenchmarkStream parses and validates one chunk per iteration, without a network.
func BenchmarkStream(b *testing.B) {
	var data bytes.Buffer
	const format = `data: {"id":"cmpl-1","object":"chat.completion.chunk","created":1796330725,"model":"standin",` +
		`"choices":[{"index":0,"delta":{"content":" token%d"},"finish_reason":null}]}` + "\n\n"
	for i := range b.N {
		_, _ = fmt.Fprintf(&data, format, i%1000)
	}
	s := newStream(newExchange(context.Background(), "bench", DefaultIdleTimeout), io.NopCloser(&data), DefaultMaxPreambleBytes, math.MaxInt)
	defer s.Close()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(); err != nil && !errors.Is(err, io.EOF) {
			b.Fatal(err)
		}
	}
}
