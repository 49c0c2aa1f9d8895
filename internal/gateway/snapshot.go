package gateway

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/primrosewell/primrosewell/internal/directory"
)

// maxUnzipped bounds a snapshot that was compressed.
const maxUnzipped = 32 << 20

// known is what a gateway that asks for news has already.
type known struct {
	Table int64 `json:"table"`
	// Listing is the number of its list of endpoints, or 0 to ask for the whole.
	Listing int64 `json:"listing"`
}

// snapshot is what a gateway tells a peer that the platform does not serve.
type snapshot struct {
	// Table is the platform's object that the table in force was made of, if it is newer
	// than the peer's.
	Table json.RawMessage `json:"table,omitempty"`
	// Listing is the number of the list that the news lead to; see listing. 0: no news of it.
	Listing int64 `json:"listing,omitempty"`
	// Since is the number of the list that the news build on, unless they are the whole.
	Since int64 `json:"since,omitempty"`
	directory.Delta
}

// zipped and unzipped tell compressed data by its first bytes, which no JSON has.
func zipped(data []byte) ([]byte, error) {
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

func unzipped(data []byte) ([]byte, error) {
	if len(data) < 2 || data[0] != 0x1f || data[1] != 0x8b {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxUnzipped))
}
