package claim

import (
	"encoding/json"
	"strconv"
)

// entry is one record of the log: a claim, or its release.
type entry struct {
	Claim
	// Epoch is the shard's epoch in which the entry was appended.
	Epoch int64 `json:"e"`
	// Released marks the end of the claim: the key is free again.
	Released bool `json:"x,omitempty"`
}

// line is an entry and its encoded form, which ends in a newline.
type line struct {
	entry
	text []byte
}

func newLine(e entry) (line, error) {
	text, err := json.Marshal(e)
	if err != nil {
		return line{}, err
	}
	return line{entry: e, text: append(text, '\n')}, nil
}

// keyID identifies a key across workspaces. The length of the workspace's name makes the
// concatenation unambiguous.
func keyID(workspace, key string) string {
	return strconv.Itoa(len(workspace)) + ":" + workspace + key
}

func (c Claim) keyID() string { return keyID(c.Workspace, c.Key) }

// expired reports whether an entry is older than the retention. At least epoch-e.Epoch-1
// complete epochs have passed since it was appended, and keepEpochs of them make up the
// retention.
func (e entry) expired(epoch, keepEpochs int64) bool { return epoch-e.Epoch-1 >= keepEpochs }
