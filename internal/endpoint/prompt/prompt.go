// Package prompt estimates the number of tokens in a prompt and hashes its prefixes, so
// that a request can be sent to an endpoint that has its prefix cached.
package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the estimated length of a token in bytes.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one prefix block.
	BlockTokens = 64
	// MaxBlocks is the maximum number of prefix blocks that are hashed per prompt.
	MaxBlocks = 256

	blockBytes = BlockTokens * BytesPerToken
)

// EstimateTokens estimates the number of tokens in text.
func EstimateTokens(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// PrefixHashes returns the chained hashes of the complete blocks of text, at most
// MaxBlocks, the longest prefix last. Apart from collisions, hash n of two texts is
// equal if and only if their first n+1 blocks are equal.
func PrefixHashes(text string) []uint64 {
	count := min(len(text)/blockBytes, MaxBlocks)
	hashes := make([]uint64, 0, count)
	var parent [8]byte
	for i := range count {
		d := xxhash.New()
		_, _ = d.Write(parent[:])
		_, _ = d.WriteString(text[i*blockBytes : (i+1)*blockBytes])
		sum := d.Sum64()
		binary.LittleEndian.PutUint64(parent[:], sum)
		hashes = append(hashes, sum)
	}
	return hashes
}
