// Package prompt estimates the length of prompts and hashes their prefixes, so that
// a request can be placed where its prefix is cached.
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
	// MaxBlocks bounds the hashes taken of one prompt.
	MaxBlocks = 256

	blockBytes = BlockTokens * BytesPerToken
)

// Tokens estimates the number of tokens in text.
func EstimateTokens(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// PrefixBlocks returns the chained hashes of the whole blocks of text, the longest
// prefix last. Two texts share hash n if and, but for collisions, only if they share
// their first n+1 blocks.
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
