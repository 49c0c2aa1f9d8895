package membership

// Attachments connect other components of the daemon to the heartbeats. They are set
// after New, since those components need the Membership's View.
type Attachments struct {
	// Exchange adds payloads to heartbeats and receives those of members; nil means none.
	Exchange Exchange
	// Revision returns the configuration revision in force; nil means zero.
	Revision func() int64
	// ConfigDigest returns the hash of the configuration records in force; nil means zero.
	ConfigDigest func() uint64
	// AlwaysCall returns the IDs of members to call in every round also above
	// FullMeshLimit, such as the brokers of the pools in use; nil means none.
	AlwaysCall func() []string
}

func (a Attachments) withDefaults() Attachments {
	if a.Exchange == nil {
		a.Exchange = Exchanges{}
	}
	if a.Revision == nil {
		a.Revision = func() int64 { return 0 }
	}
	if a.ConfigDigest == nil {
		a.ConfigDigest = func() uint64 { return 0 }
	}
	if a.AlwaysCall == nil {
		a.AlwaysCall = func() []string { return nil }
	}
	return a
}

// Attach replaces the attachments. None of them may call the Membership's Attach,
// Receive or Leave.
func (m *Membership) Attach(attachments Attachments) {
	attachments = attachments.withDefaults()
	m.attached.Store(&attachments)
}
