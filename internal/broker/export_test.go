package broker

// BrokerOf returns the ID of the daemon that b takes for the broker of a pool; here is true if
// that is b's own daemon.
func (b *Broker) BrokerOf(pool string) (id string, here bool) {
	r, _ := b.routeOf(pool).current()
	return r.member.ID, r.kind == routeSelf
}
