package platform

import (
	"errors"
	"testing"
)

// FuzzDecodeList checks that any response to a list is either rejected with a typed error or holds
// only objects of the requested collection and prefix.
func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(`{"resourceVersion":3,"items":[{"collection":"config","name":"p.a","resourceVersion":2,"data":"MQ=="}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := call{op: "list", key: "config/p."}
		list, err := NewClient(ClientOptions{}).decodePage(r, "config", "p.", body)
		if err != nil {
			expectReason(t, err, Unavailable)
			return
		}
		for _, o := range list.Items {
			if o.Collection != "config" || o.Name[:2] != "p." || o.Version <= 0 || o.Version > list.Version {
				t.Fatalf("list at %d holds %+v", list.Version, o)
			}
		}
	})
}

// FuzzDecodeLine checks that any line of a watch decodes to a bookmark, an event of the watched
// collection, or a typed error that ends the watch.
func FuzzDecodeLine(f *testing.F) {
	f.Add([]byte(`{"type":"put","object":{"collection":"config","name":"a","resourceVersion":2,"data":"MQ=="}}`))
	f.Add([]byte(`{"type":"bookmark","object":{"resourceVersion":2}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		event, err := decodeLine(call{op: "watch", key: "config"}, "config", text)
		if err != nil {
			expectReason(t, err, WatchEnded, TooOld)
			return
		}
		if event == nil {
			return
		}
		o := event.Object
		if o.Collection != "config" || o.Name == "" || o.Version <= 0 || (event.Type != Put && event.Type != Deleted) {
			t.Fatalf("event %+v", event)
		}
	})
}

// FuzzDecodeObject checks that a response to a write counts as a success only if it holds the object
// that was written.
func FuzzDecodeObject(f *testing.F) {
	f.Add([]byte(`{"collection":"config","name":"a","resourceVersion":2}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		o, err := NewClient(ClientOptions{}).decodeObject(call{op: "create", key: "config/a", isWrite: true}, "config", "a", body)
		if err != nil {
			expectReason(t, err, Uncertain)
			return
		}
		if o.Collection != "config" || o.Name != "a" || o.Version <= 0 {
			t.Fatalf("object %+v", o)
		}
	})
}

func expectReason(t *testing.T, err error, reasons ...Reason) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("untyped error %v", err)
	}
	for _, reason := range reasons {
		if e.Reason == reason {
			return
		}
	}
	t.Fatalf("reason %s of %v", e.Reason, err)
}
