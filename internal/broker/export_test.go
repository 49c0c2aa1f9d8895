package broker

// BrokerOf returns the ID of the daemon that b takes for the broker of a pool, and
// whether b brokers it itself.
func (b *Broker) BrokerOf(pool string) (id string, here bool) {
	r, _ := b.path(pool).now()
	return r.member.ID, r.kind == routeSelf
}
