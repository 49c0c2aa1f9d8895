package gateway

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/platform/wire"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

// NativeAdapter returns the adapter for primrosewell's own object API: the route table is
// the object "table" of the collection "routes", and endpoints register in "endpoints".
func NativeAdapter() adapter.Adapter {
	return adapter.Adapter{
		SettingsVariable: "PRIMROSEWELL_SETTINGS",
		ReadinessPath:    "/readyz",
		Headers:          headers.Default(),
		MakeRequestIDs:   true,
		Source:           nativeSource{},
		Duties:           nativeDuties{},
	}
}

type nativeSource struct{}

// TableObject implements adapter.Source.
func (nativeSource) TableObject() (collection, name string) { return "routes", "table" }

// EndpointCollection implements adapter.Source.
func (nativeSource) EndpointCollection() string { return "endpoints" }

// DecodeTable implements adapter.Source. Durations are in nanoseconds, as encoding/json
// encodes time.Duration.
func (nativeSource) DecodeTable(data []byte) (routetable.Spec, error) {
	var stored struct {
		routetable.Spec
		// Services takes the place of the field of Spec, as a bad one must not refuse the table.
		Services json.RawMessage `json:"services"`
	}
	if err := json.Unmarshal(data, &stored); err != nil {
		return stored.Spec, oops.Wrapf(err, "route table")
	}
	spec := stored.Spec
	spec.Services, spec.LeftOut = routetable.DecodeServices(stored.Services, routetable.DecodeService)
	if spec.Version <= 0 {
		return spec, oops.Errorf("route table has no version")
	}
	return spec, nil
}

// nativeEndpoint is the object that an endpoint registers.
type nativeEndpoint struct {
	Service    string        `json:"service"`
	Address    string        `json:"address"`
	DataCentre string        `json:"data_centre"`
	Slots      int           `json:"slots"`
	Draining   bool          `json:"draining"`
	WarmUp     time.Duration `json:"cold_for"`
	StartedAt  int64         `json:"born"`
	Version    string        `json:"version"`
	// Reclaimable and LeavesIn are those of routetable.Endpoint.
	Reclaimable bool          `json:"reclaimable"`
	LeavesIn    time.Duration `json:"leaves_in"`
}

// DecodeEndpoint implements adapter.Source.
func (nativeSource) DecodeEndpoint(id string, data []byte) (routetable.Endpoint, error) {
	var e nativeEndpoint
	if err := json.Unmarshal(data, &e); err != nil {
		return routetable.Endpoint{}, oops.Wrapf(err, "endpoint")
	}
	address, err := routetable.ParseAddress(e.Address)
	if err != nil {
		return routetable.Endpoint{}, oops.Wrapf(err, "endpoint")
	}
	endpoint := routetable.Endpoint{
		ID: id, Service: e.Service, Address: address, DataCentre: e.DataCentre, Slots: e.Slots,
		Draining: e.Draining, WarmUp: e.WarmUp, StartedAt: e.StartedAt, Version: e.Version,
		Reclaimable: e.Reclaimable, LeavesIn: e.LeavesIn,
	}
	if err := endpoint.Check(); err != nil {
		return routetable.Endpoint{}, oops.Wrapf(err, "endpoint")
	}
	return endpoint, nil
}

// nativeDuties names the calls of duties as the stand-in platform takes them. Durations and names are
// those of primrosewell.
type nativeDuties struct{}

var _ adapter.Duties = nativeDuties{}

// Kind implements adapter.Duties.
func (nativeDuties) Kind(name string) (adapter.DutyKind, bool) {
	kind := adapter.DutyKind(name)
	return kind, kind == adapter.UsageReports || kind == adapter.EndpointOrders
}

// HeaderNames implements adapter.Duties.
func (nativeDuties) HeaderNames() (holder, epoch string) {
	return wire.HolderHeader, wire.EpochHeader
}

// UsageReport implements adapter.Duties.
func (nativeDuties) UsageReport(window int64, counts map[string]int64) (adapter.DutyCall, error) {
	body, err := json.Marshal(wire.UsageReport{Window: window, Counts: counts})
	return adapter.DutyCall{Kind: adapter.UsageReports, Path: wire.UsagePath, Body: body}, err
}

// EndpointOrder implements adapter.Duties.
func (nativeDuties) EndpointOrder(order adapter.EndpointOrder) (adapter.DutyCall, error) {
	body, err := json.Marshal(wire.EndpointOrder(order))
	return adapter.DutyCall{Kind: adapter.EndpointOrders, Path: wire.OrdersPath, Body: body}, err
}
