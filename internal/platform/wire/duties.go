package wire

// Paths and header fields of the calls that one gateway at a time makes, by POST.
const (
	UsagePath  = "/v1/usage"
	OrdersPath = "/v1/endpoint-orders"
	// HolderHeader is the name of the VM that holds the duty.
	HolderHeader = "Primrosewell-Holder"
	// EpochHeader is the epoch, which grows when the holder changes.
	EpochHeader = "Primrosewell-Epoch"
)

// UsageReport is the number of requests of each workspace that began in a window.
type UsageReport struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// EndpointOrder is the number of endpoints of one kind that a service is to have in a data centre.
type EndpointOrder struct {
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	Reclaimable bool   `json:"reclaimable"`
	Count       int    `json:"count"`
}
