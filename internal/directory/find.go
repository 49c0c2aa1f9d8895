package directory

import "github.com/primrosewell/primrosewell/internal/routetable"

// Find returns an entry with this address, and false if there is none.
func (d *Directory) Find(address string) (routetable.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if e.endpoint.Address == address && !e.odd {
			return e.endpoint, true
		}
	}
	return routetable.Endpoint{}, false
}
