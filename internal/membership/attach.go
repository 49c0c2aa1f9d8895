package membership

// Attachments are the other parts of a daemon that the heartbeats serve. They are
// made after the Membership, since they need its View.
type Attachments struct {
	// Exchange takes part in heartbeats; nil means none.
	Exchange Exchange
	// Revision returns the configuration revision in force; nil means zero.
	Revision func() int64
	// ConfigDigest sums up the configuration records in force; nil means zero.
	ConfigDigest func() uint64
	// Contacts names members to call in every round, above FullMeshLimit too, such as
	// the brokers of the pools in use; nil means none.
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
func (m *Membership) Attach(a Attachments) {
	a = a.withDefaults()
	m.attached.Store(&a)
}
