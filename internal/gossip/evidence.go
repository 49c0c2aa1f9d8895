package gossip

import (
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
)

const (
	// maxEvidenceBytes bounds the evidence in a message; the rest of a datagram is for the daemon's state.
	maxEvidenceBytes = 800
	// evidenceNewsFor is how long new evidence on parts is sent at each interval, and evidenceRefresh the
	// time between two messages after that, from which a daemon that has restarted learns it.
	evidenceNewsFor, evidenceRefresh = time.Second, time.Second
)

// publishEvidence sends the evidence on requests and on parts of prompts: in a small fleet to all
// peers, in a large one by way of the watchers, which broadcast what they know.
func (g *Gossip) publishEvidence(now time.Time, addresses, watchers []string) {
	g.publishLedger(now, g.Contents, &g.contentsSentAt, addresses, watchers, func(m *Message, e *parts.Evidence) { m.ContentEvidence, m.ContentTrials = e, e.Trials })
	g.publishLedger(now, g.Parts, &g.partsSentAt, addresses, watchers, func(m *Message, e *parts.Evidence) { m.PartEvidence, m.PartTrials = e, e.Trials })
}

func (g *Gossip) publishLedger(now time.Time, ledger *parts.Ledger, sentAt *time.Time, addresses, watchers []string, set func(*Message, *parts.Evidence)) {
	if !ledger.ChangedSince(now.Add(-evidenceNewsFor)) && now.Sub(*sentAt) < evidenceRefresh {
		return
	}
	for _, evidence := range ledger.Evidence(now, maxEvidenceBytes) {
		*sentAt = now
		message := g.state()
		message.LoadsOmitted = true
		set(&message, &evidence)
		g.sendEvidence(message, addresses, watchers)
	}
}

func (g *Gossip) sendEvidence(message Message, addresses, watchers []string) {
	switch {
	case len(addresses) <= maxDirectPeers:
		g.sendDirect(message, parseAddresses(addresses))
	case message.Watching:
		g.broadcast(message)
	default:
		g.sendDirect(message, parseAddresses(slices.Concat(watchers, g.nextPeers(addresses, watchers))))
	}
}

// publishLimitEnds sends the limits that ended lately, in the same way as evidence.
func (g *Gossip) publishLimitEnds(now time.Time, addresses, watchers []string) {
	if !g.LimitEnds.IsNews(now) && now.Sub(g.limitEndsSentAt) < evidenceRefresh {
		return
	}
	if ends := g.LimitEnds.Recent(now); len(ends) > 0 {
		g.limitEndsSentAt = now
		message := g.state()
		message.LoadsOmitted, message.LimitEnds = true, ends
		g.sendEvidence(message, addresses, watchers)
	}
}

// brittleRefresh is the interval between two messages about brittle endpoints: their state lasts for
// seconds, and the users' rule holds three seconds after it began.
const brittleRefresh = 400 * time.Millisecond

// publishBrittle sends the endpoints that are brittle, in the same way as evidence.
func (g *Gossip) publishBrittle(now time.Time, addresses, watchers []string) {
	if now.Sub(g.brittleSentAt) < brittleRefresh {
		return
	}
	if news := g.BrittleNews(now); len(news) > 0 {
		g.brittleSentAt = now
		message := g.state()
		message.LoadsOmitted, message.BrittleNews = true, news
		g.sendEvidence(message, addresses, watchers)
	}
}

// mergeEvidence merges the evidence of a message, if it has any.
func (g *Gossip) mergeEvidence(now time.Time, message Message) (found bool) {
	merge := func(ledger *parts.Ledger, evidence *parts.Evidence, trials []parts.RunningTrial) {
		if evidence != nil {
			evidence.Trials = trials
			ledger.Merge(now, *evidence)
		}
	}
	merge(g.Contents, message.ContentEvidence, message.ContentTrials)
	merge(g.Parts, message.PartEvidence, message.PartTrials)
	return message.ContentEvidence != nil || message.PartEvidence != nil
}
