package adapter

// DutyKind is a kind of call to the platform that one gateway at a time makes; see package duty.
type DutyKind string

// Values of DutyKind.
const (
	// UsageReports reports the requests of each workspace.
	UsageReports DutyKind = "usage_reports"
	// EndpointOrders orders endpoints of services that have a scaling range.
	EndpointOrders DutyKind = "endpoint_orders"
)

// DutyCall is one call of a duty as the platform expects it; it is sent by POST.
type DutyCall struct {
	Kind DutyKind
	Path string
	Body []byte
}

// Duties translates the calls that one gateway at a time makes.
type Duties interface {
	// Kind returns the duty that the platform calls name, or false.
	Kind(name string) (DutyKind, bool)
	// HeaderNames returns the header fields that hold the name of the holder and its epoch.
	HeaderNames() (holder, epoch string)
	// UsageReport encodes the requests of each workspace that began in a window.
	UsageReport(window int64, counts map[string]int64) (DutyCall, error)
	EndpointOrder(order EndpointOrder) (DutyCall, error)
}

// EndpointOrder is the number of endpoints of one kind that a service is to have in a data centre.
type EndpointOrder struct {
	Service     string
	DataCentre  string
	Reclaimable bool
	Count       int
}
