package claim

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func exampleHead() []byte {
	h := &head{Epoch: 3, Segments: []segmentRef{{Name: "shard-000.2.x", Version: 7, Epoch: 2, Count: 1, Bytes: 9}}}
	for _, key := range []string{"a", "b\n"} {
		l, err := newLine(entry{Claim: newClaim("r", key, "d"), Epoch: 3})
		if err != nil {
			panic(err)
		}
		h.tail = append(h.tail, l)
	}
	data, err := h.encode()
	if err != nil {
		panic(err)
	}
	return data
}

var _ = Describe("head", func() {
	It("decodes completely or not at all", func() {
		data := exampleHead()
		h, err := decodeHead(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.tail).To(HaveLen(2))
		Expect(h.tail[1].Key).To(Equal("b\n"))
		for n := range len(data) - 1 {
			_, err := decodeHead(data[:n])
			Expect(err).To(HaveOccurred(), "cut at %d", n)
		}
	})
})

// FuzzDecodeHead checks that encoding a decoded head gives data that decodes and encodes to
// the same bytes.
func FuzzDecodeHead(f *testing.F) {
	f.Add(exampleHead())
	f.Add([]byte(`{"epoch":1,"n":1}` + "\n"))
	f.Add([]byte(`{"epoch":1,"n":1}` + "\n" + `{"w":"w","k":"k","x":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := decodeHead(data)
		if err != nil {
			return
		}
		first, err := h.encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeHead(first)
		if err != nil {
			t.Fatalf("%v in %q", err, first)
		}
		second, err := again.encode()
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%q became %q", first, second)
		}
	})
}
