package gossip

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/resume"
)

// StreamTracker remembers where streams began.
type StreamTracker interface {
	HandleAnnouncement(now time.Time, records []resume.Record)
	HandleQuery(now time.Time, query resume.Query) resume.Answer
	HandleAnswer(peer string, answer resume.Answer)
}

// LivePeers implements resume.Transport.
func (g *Gossip) LivePeers() []string { return g.Members.LiveAddresses() }

// KnownPeers implements resume.Transport.
func (g *Gossip) KnownPeers() []string { return g.Members.RecentAddresses(time.Now()) }

// SpreadVersion implements resume.Transport.
func (g *Gossip) SpreadVersion() directory.Version {
	return g.Members.SpreadVersion(time.Now(), g.ListVersion())
}

// Announce implements resume.Transport.
func (g *Gossip) Announce(records []resume.Record, to []string) {
	g.sendAboutStreams(Message{StreamOrigins: records}, to)
}

// Ask implements resume.Transport.
func (g *Gossip) Ask(query resume.Query, to []string) {
	g.sendAboutStreams(Message{StreamQuery: &query}, to)
}

// sendAboutStreams sends the message together with this daemon's state: an older daemon takes
// it for a message about the state alone.
func (g *Gossip) sendAboutStreams(message Message, to []string) {
	state := g.state()
	state.LoadsOmitted = true
	state.StreamOrigins, state.StreamQuery, state.StreamAnswer = message.StreamOrigins, message.StreamQuery, message.StreamAnswer
	g.sendDirect(state, parseAddresses(to))
}

// handleStreams handles a message about streams. It returns false for other messages.
func (g *Gossip) handleStreams(now time.Time, message Message) bool {
	switch {
	case len(message.StreamOrigins) > 0:
		g.Streams.HandleAnnouncement(now, message.StreamOrigins)
	case message.StreamQuery != nil:
		answer := g.Streams.HandleQuery(now, *message.StreamQuery)
		g.sendAboutStreams(Message{StreamAnswer: &answer}, []string{message.Address})
	case message.StreamAnswer != nil:
		g.Streams.HandleAnswer(message.Address, *message.StreamAnswer)
	default:
		return false
	}
	return true
}
