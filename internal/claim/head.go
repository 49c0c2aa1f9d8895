package claim

import (
	"bytes"
	"encoding/json"

	"github.com/samber/lo"
	"github.com/samber/oops"
)

// segmentRef refers to a segment: an immutable object that holds older entries.
type segmentRef struct {
	Name    string `json:"s"`
	Version int64  `json:"v"`
	// Epoch is the newest epoch among its entries.
	Epoch int64 `json:"e"`
	// Level is the number of merges that produced it.
	Level int `json:"l,omitempty"`
	Count int `json:"c"`
	Bytes int `json:"b"`
}

// head is the one mutable object of a shard. Every append replaces it by a conditional
// update, the log's only point of serialisation. A head is not changed after it was built.
type head struct {
	Epoch int64 `json:"epoch"`
	// Segments hold the entries before the tail, oldest first.
	Segments []segmentRef `json:"seals,omitempty"`
	// Fences bar claims that were forwarded and may still be in transit.
	Fences []fence `json:"fences,omitempty"`
	// Count is the number of entries in the tail as encoded.
	Count int `json:"n"`
	// tail holds the newest entries, oldest first.
	tail []line
}

// encode returns a line with the epoch, the segments and the fences, and a line for each entry of the
// tail.
func (h *head) encode() ([]byte, error) {
	first, err := json.Marshal(head{Epoch: h.Epoch, Segments: h.Segments, Fences: h.Fences, Count: len(h.tail)})
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	out.Grow(len(first) + 1 + h.tailBytes())
	out.Write(first)
	out.WriteByte('\n')
	writeLines(&out, h.tail)
	return out.Bytes(), nil
}

func (h *head) tailBytes() int {
	return lo.SumBy(h.tail, func(l line) int { return len(l.text) })
}

func decodeHead(data []byte) (*head, error) {
	first, rest, _ := bytes.Cut(data, []byte{'\n'})
	h := &head{}
	if err := json.Unmarshal(first, h); err != nil {
		return nil, err
	}
	tail, err := decodeLines(rest, h.Count)
	h.tail = tail
	return h, err
}

func writeLines(out *bytes.Buffer, lines []line) {
	for _, l := range lines {
		out.Write(l.text)
	}
}

// decodeLines reads exactly count entries; if one were missing, its key could be claimed
// again.
func decodeLines(data []byte, count int) ([]line, error) {
	var lines []line
	for text := range bytes.Lines(data) {
		l := line{text: text}
		if err := json.Unmarshal(text, &l.entry); err != nil {
			return nil, err
		}
		lines = append(lines, l)
	}
	if len(lines) != count {
		return nil, oops.Errorf("found %d entries, expected %d", len(lines), count)
	}
	return lines, nil
}

// latestUnexpired keeps the latest entry of each key unless it has expired, in order.
func latestUnexpired(lines []line, epoch, keepEpochs int64) []line {
	last := make(map[string]int, len(lines))
	for i, l := range lines {
		last[l.keyID()] = i
	}
	return lo.Filter(lines, func(l line, i int) bool { return last[l.keyID()] == i && !l.expired(epoch, keepEpochs) })
}
