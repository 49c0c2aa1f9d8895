package endpoint_test

import (
	"context"
	"errors"
	"testing"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// Load pattern: endpoints in trouble answer many readings of their reports at once with bytes without end.
func TestEndlessReportsAreCutOff(t *testing.T) {
	const readings, endless, mostAccepted, accountBytes = 40, 64 << 20, 16 << 20, 12 << 20
	account := memory.NewAccount(func() memory.Limits { return memory.Limits{Bytes: accountBytes} }, func(memory.Refusal) {})
	client := endpoint.NewClient(endpoint.Options{Reports: account.NewQuota("reports", memory.ReportsShare)})
	defer client.Close()
	for _, sample := range [][2]string{
		{"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
		{"HTTP/1.1 200 OK\r\n\r\n", "a 1\n"},
		{"HTTP/1.1 200 OK\r\n\r\n{\"events\":[", "{},"},
		{"HTTP/1.1 500 X\r\n\r\n", "x"},
	} {
		listener, sent, err := rawhttp.Endless(sample[0], sample[1], endless)
		if err != nil {
			t.Fatal(err)
		}
		e := anyEndpoint
		e.Address = listener.Addr().String()
		failures := make(chan error, readings)
		for i := range readings {
			go func() {
				var err error
				if i%2 == 0 {
					_, err = client.Load(context.Background(), e)
				} else {
					_, _, err = client.CacheEvents(context.Background(), e, 0)
				}
				failures <- err
			}()
		}
		for range readings {
			var failed *endpoint.Error
			if err := <-failures; !errors.As(err, &failed) {
				t.Fatalf("%q: %v", sample, err)
			}
			if total := <-sent; total > mostAccepted {
				t.Fatalf("%q: %d bytes were taken", sample, total)
			}
			if held := account.Totals().Bytes; held > accountBytes/memory.ReportsShare {
				t.Fatalf("%q: %d bytes are held", sample, held)
			}
		}
		if held := account.Totals().Bytes; held != 0 {
			t.Fatalf("%q: %d bytes are held after the end", sample, held)
		}
		_ = listener.Close()
	}
}
