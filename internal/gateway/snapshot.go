package gateway

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/primrosewell/primrosewell/internal/directory"
)

// maxDecompressed bounds the size, in bytes, of a decompressed snapshot.
const maxDecompressed = 32 << 20

// versions are the versions of the table and the endpoint list that a gateway holds. A
// gateway sends them when it requests a snapshot.
type versions struct {
	Table int64 `json:"table"`
	// ListNumber and ListEra are the version of the endpoint list; the number is 0 to request
	// the full list. Older gateways send no era.
	ListNumber int64 `json:"listing"`
	ListEra    int64 `json:"listing_era,omitempty"`
}

func newVersions(table int64, list directory.Version) versions {
	return versions{Table: table, ListNumber: list.Number, ListEra: list.Era}
}

func (v versions) list() directory.Version {
	return directory.Version{Era: v.ListEra, Number: v.ListNumber}
}

// snapshot is the data that a gateway sends to a peer which does not get it from the
// platform: the table and the delta of the endpoint list.
type snapshot struct {
	// Table is the platform's object from which the table in force was decoded, if that table
	// is newer than the peer's.
	Table json.RawMessage `json:"table,omitempty"`
	// ListNumber and ListEra are the version of the list that the delta leads to; see
	// endpointList. The number is 0 if the snapshot has no delta.
	ListNumber int64 `json:"listing,omitempty"`
	ListEra    int64 `json:"listing_era,omitempty"`
	// Since is the number of the list version that the delta applies to, unless it is full. That
	// version is of the same era.
	Since int64 `json:"since,omitempty"`
	directory.Delta
}

func (s snapshot) listVersion() directory.Version {
	return directory.Version{Era: s.ListEra, Number: s.ListNumber}
}

// compress returns data in gzip format.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompress returns data unchanged unless it starts with the gzip magic number, which no
// JSON text does.
func decompress(data []byte) ([]byte, error) {
	if len(data) < 2 || data[0] != 0x1f || data[1] != 0x8b {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxDecompressed))
}
