package routetable

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/samber/oops"
)

// MaxEndpoints bounds the endpoints of a service in a data centre that can be ordered.
const MaxEndpoints = 10_000

// Service is what a table says of a service beside its routes.
type Service struct {
	Name string `json:"name"`
	// Scaling is nil unless the number of the service's endpoints can be ordered.
	Scaling *Scaling `json:"scaling,omitempty"`
}

// Scaling is the range in which the endpoints of a service can be ordered, and their prices.
type Scaling struct {
	// Min and Max bound the endpoints of a data centre, ordinary and reclaimable ones together.
	Min int `json:"min"`
	Max int `json:"max"`
	// Boot is how long a new endpoint takes until it serves.
	Boot time.Duration `json:"boot"`
	// ReclaimablePrice is the price of a reclaimable endpoint as a share of an ordinary one's; 0 if
	// there are no reclaimable ones.
	ReclaimablePrice float64 `json:"reclaimable_price"`
	// Prices holds the price of an ordinary endpoint for each second, by data centre.
	Prices map[string]float64 `json:"prices"`
}

// Check returns an error if the range or a price is out of bounds.
func (s Scaling) Check() error {
	if s.Min < 0 || s.Max < s.Min || s.Max == 0 || s.Max > MaxEndpoints {
		return oops.Errorf("scaling range from %d to %d, which must be within 0 to %d and not empty", s.Min, s.Max, MaxEndpoints)
	}
	if s.Boot < 0 || s.ReclaimablePrice < 0 {
		return oops.Errorf("a boot time of %s and a reclaimable price of %g, which must not be negative", s.Boot, s.ReclaimablePrice)
	}
	for dataCentre, price := range s.Prices {
		if price < 0 {
			return oops.Errorf("a price of %g in data centre %s", price, dataCentre)
		}
	}
	return nil
}

// DecodeServices decodes the services of a stored table with decode, which returns a service without its
// range, and the reason, if only the range is unusable. An unusable service or range is left out, as the
// routes do not depend on it.
func DecodeServices(data json.RawMessage, decode func(json.RawMessage) (Service, error)) (services []Service, leftOut []LeftOut) {
	if len(data) == 0 {
		return nil, nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return nil, []LeftOut{{Item: "services", Reason: err}}
	}
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		service, err := decode(item)
		switch {
		case err == nil && seen[service.Name]:
			err = oops.Errorf("the service is named twice")
		case err == nil && service.Scaling != nil:
			err = service.Scaling.Check()
		}
		if err != nil {
			service.Scaling = nil
			name := service.Name
			if name == "" || !isName(name) {
				name = fmt.Sprintf("at index %d", i)
			}
			leftOut = append(leftOut, LeftOut{Item: "scaling range of service " + name, Reason: err})
		}
		if service.Name != "" && !seen[service.Name] {
			seen[service.Name] = true
			services = append(services, service)
		}
	}
	return services, leftOut
}

// DecodeService decodes a service as encoding/json encodes it.
func DecodeService(data json.RawMessage) (Service, error) {
	var stored struct {
		Name    string          `json:"name"`
		Scaling json.RawMessage `json:"scaling"`
	}
	if err := json.Unmarshal(data, &stored); err != nil {
		return Service{}, oops.Wrapf(err, "service")
	}
	service := Service{Name: stored.Name}
	if len(stored.Scaling) == 0 {
		return service, nil
	}
	err := json.Unmarshal(stored.Scaling, &service.Scaling)
	return service, oops.Wrapf(err, "scaling range")
}
