package usage

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	"github.com/samber/oops"
)

const (
	// maxRecordBytes bounds the stored record. The platform accepts 1 MiB; a record of 410 gateways with
	// 24 workspaces takes about 50 KB. Above it the counts of open windows are left out.
	maxRecordBytes = 700 << 10
	// maxInflatedBytes bounds the record after decompression.
	maxInflatedBytes = 16 << 20
)

// Record is what the holder of the duty keeps at the platform.
type Record struct {
	// Era is the platform's era in which the record was written. If the platform's is higher, it has
	// come back from an older copy and may have lost a later record.
	Era int64
	// Sealed are the final sums of recent windows.
	Sealed []SealedWindow
	// Open are the counts so far of windows that are not sealed.
	Open []OpenCounts
}

// SealedWindow is the final sum of a window.
type SealedWindow struct {
	Window int64
	// Sent is set once the platform has accepted the report.
	Sent   bool
	Counts map[string]int64
}

// OpenCounts are the counts of a process in a window.
type OpenCounts struct {
	Process Process
	Window  int64
	Sum     int64
	Counts  map[string]int64
}

// storedRecord is the encoded form of a record, in which names are numbers.
type storedRecord struct {
	_         struct{} `cbor:",toarray"`
	Era       int64
	Names     []string
	Processes []storedProcess
	Sealed    []storedSealed
	Open      []storedOpen
}

type storedProcess struct {
	_           struct{} `cbor:",toarray"`
	Node        string
	Incarnation int64
}

type storedSealed struct {
	_      struct{} `cbor:",toarray"`
	Window int64
	Sent   bool
	// Counts are pairs of the number of a name and its count.
	Counts []int64
}

type storedOpen struct {
	_       struct{} `cbor:",toarray"`
	Process int
	Window  int64
	Sum     int64
	Counts  []int64
}

// envelope makes the record a JSON object, as the platform requires.
type envelope struct {
	Usage []byte `json:"usage"`
}

// numbering assigns numbers to values in their order of appearance.
type numbering[T comparable] struct {
	values  []T
	numbers map[T]int
}

func (n *numbering[T]) of(value T) int {
	if number, ok := n.numbers[value]; ok {
		return number
	}
	if n.numbers == nil {
		n.numbers = make(map[T]int)
	}
	n.numbers[value] = len(n.values)
	n.values = append(n.values, value)
	return len(n.values) - 1
}

// EncodeRecord encodes a record. It leaves out the open windows of one that would be too large;
// complete is then false.
func EncodeRecord(r Record) (data []byte, complete bool, err error) {
	data, err = encodeRecord(r)
	if err != nil || len(data) <= maxRecordBytes || len(r.Open) == 0 {
		return data, err == nil, err
	}
	r.Open = nil
	data, err = encodeRecord(r)
	return data, false, err
}

func encodeRecord(r Record) ([]byte, error) {
	var names numbering[string]
	var processes numbering[Process]
	pairs := func(counts map[string]int64) []int64 {
		list := make([]int64, 0, 2*len(counts))
		for _, name := range sortedNames(counts) {
			list = append(list, int64(names.of(name)), counts[name])
		}
		return list
	}
	stored := storedRecord{Era: r.Era}
	for _, s := range r.Sealed {
		stored.Sealed = append(stored.Sealed, storedSealed{Window: s.Window, Sent: s.Sent, Counts: pairs(s.Counts)})
	}
	for _, o := range r.Open {
		stored.Open = append(stored.Open, storedOpen{Process: processes.of(o.Process), Window: o.Window, Sum: o.Sum, Counts: pairs(o.Counts)})
	}
	stored.Names = names.values
	stored.Processes = lo.Map(processes.values, func(p Process, _ int) storedProcess {
		return storedProcess{Node: p.Node, Incarnation: p.Incarnation}
	})
	plain, err := cbor.Marshal(stored)
	if err != nil {
		return nil, oops.Wrapf(err, "usage record")
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, oops.Wrapf(err, "usage record")
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, oops.Wrapf(err, "usage record")
	}
	if err := writer.Close(); err != nil {
		return nil, oops.Wrapf(err, "usage record")
	}
	data, err := json.Marshal(envelope{Usage: compressed.Bytes()})
	return data, oops.Wrapf(err, "usage record")
}

// DecodeRecord decodes a record of the platform.
func DecodeRecord(data []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Record{}, oops.Wrapf(err, "usage record")
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(e.Usage)), maxInflatedBytes))
	if err != nil {
		return Record{}, oops.Wrapf(err, "usage record")
	}
	var stored storedRecord
	if err := cbor.Unmarshal(plain, &stored); err != nil {
		return Record{}, oops.Wrapf(err, "usage record")
	}
	r := Record{Era: stored.Era}
	for _, s := range stored.Sealed {
		counts, err := stored.counts(s.Counts)
		if err != nil {
			return Record{}, err
		}
		r.Sealed = append(r.Sealed, SealedWindow{Window: s.Window, Sent: s.Sent, Counts: counts})
	}
	for _, o := range stored.Open {
		counts, err := stored.counts(o.Counts)
		if err != nil {
			return Record{}, err
		}
		if o.Process < 0 || o.Process >= len(stored.Processes) {
			return Record{}, oops.Errorf("usage record names process %d of %d", o.Process, len(stored.Processes))
		}
		p := stored.Processes[o.Process]
		r.Open = append(r.Open, OpenCounts{Process: Process{Node: p.Node, Incarnation: p.Incarnation}, Window: o.Window, Sum: o.Sum, Counts: counts})
	}
	return r, nil
}

func (r storedRecord) counts(pairs []int64) (map[string]int64, error) {
	counts := make(map[string]int64, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i] < 0 || pairs[i] >= int64(len(r.Names)) {
			return nil, oops.Errorf("usage record names workspace %d of %d", pairs[i], len(r.Names))
		}
		counts[r.Names[pairs[i]]] = pairs[i+1]
	}
	return counts, nil
}

// openCounts returns the counts of all windows for which keep returns true.
func (t *Totals) openCounts(keep func(window int64) bool) []OpenCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []OpenCounts
	for _, window := range sortedKeys(t.open) {
		if !keep(window) {
			continue
		}
		for process, p := range t.open[window] {
			if len(p.counts) > 0 {
				open = append(open, OpenCounts{Process: process, Window: window, Sum: p.sum, Counts: lo.Assign(p.counts)})
			}
		}
	}
	return open
}

// restore merges counts of a record.
func (t *Totals) restore(now time.Time, open []OpenCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range open {
		names := sortedNames(o.Counts)
		t.merge(now, o.Process, WindowCounts{
			Window: o.Window, Sum: o.Sum, Workspaces: len(names), Names: names,
			Counts: lo.Map(names, func(name string, _ int) int64 { return o.Counts[name] }),
		})
	}
}
