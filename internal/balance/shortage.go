package balance

// Shortage is why Pick found no endpoint.
type Shortage int

const (
	// AllTried means that the request has tried every endpoint that takes requests.
	AllTried Shortage = iota
	// NoneListed means that the service has no endpoint that is listed as usable.
	NoneListed
	// AllLeaving means that every listed endpoint leaves.
	AllLeaving
)

// Shortage returns why Pick has just found no endpoint.
func (p *Pool) Shortage() Shortage {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(p.endpoints) == 0:
		return NoneListed
	case len(p.order) == 0:
		return AllLeaving
	}
	return AllTried
}
