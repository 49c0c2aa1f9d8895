package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
)

// ledgers hold the evidence against requests and parts of prompts that crash endpoints.
type ledgers struct{ contents, parts *parts.Ledger }

func (g *Gateway) newLedgers() ledgers {
	return ledgers{
		contents: parts.NewLedger(g.started, parts.Options{Policy: parts.RequestPolicy(), MakesTrials: g.makesTrials, OnChange: g.contentChanged}),
		parts:    parts.NewLedger(g.started, parts.Options{Policy: parts.PartPolicy(), MakesTrials: g.makesTrials, OnChange: g.partChanged}),
	}
}

// makesTrials reports whether this gateway, of all, makes the trials of a blocked part. One that sees
// no more than half of all gateways makes none, as those that it doesn't see may make the same trial.
func (g *Gateway) makesTrials(part parts.Key, rotation int64) bool {
	live := len(g.members.LiveAddresses()) + 1
	return 2*live > g.fleet.Size() && g.isChosen(part, rotation)
}

// isChosen reports whether this gateway, of all live ones, has the highest hash for a part and turn
// (rendezvous hashing).
func (g *Gateway) isChosen(part parts.Key, rotation int64) bool {
	own := trialRank(g.settings.Peers.Address, part, rotation)
	for _, address := range g.members.LiveAddresses() {
		if trialRank(address, part, rotation) > own {
			return false
		}
	}
	return true
}

func trialRank(address string, part parts.Key, rotation int64) uint64 {
	key := binary.LittleEndian.AppendUint64([]byte(address), uint64(part))
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(key, uint64(rotation)))
}

// partChanged logs that a part was blocked, or that its block was lifted.
func (g *Gateway) partChanged(c parts.Change) {
	g.logBlock("part", c, "a part of prompts crashes endpoints; requests with it are refused", "a part of prompts no longer crashes endpoints; requests with it are served")
}

// contentChanged logs that a request's content was blocked, or that its block was lifted.
func (g *Gateway) contentChanged(c parts.Change) {
	g.logBlock("content", c, "a request crashes endpoints; it is refused", "a request no longer crashes endpoints; it is served")
}

func (g *Gateway) logBlock(kind string, c parts.Change, blocked, lifted string) {
	entry := g.log.WithFields(logrus.Fields{"event": kind, kind: c.Part, "blocked": c.Blocked, "crashes": c.Crashes, "established": c.Established, "generation": c.Generation})
	if c.Blocked {
		entry.Warn(blocked)
		return
	}
	entry.Info(lifted)
}
