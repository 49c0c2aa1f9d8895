package gateway

import (
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/go-viper/mapstructure/v2"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// Settings are the start-up settings of a gateway: one JSON file. Unknown fields are
// ignored, so that a newer platform can add some.
type Settings struct {
	VM        VM        `json:"vm"`
	Callers   Listener  `json:"callers"`
	Readiness Listener  `json:"readiness"`
	Metrics   Listener  `json:"metrics"`
	Peers     Peers     `json:"peers"`
	Platform  Platform  `json:"platform"`
	Retries   Retries   `json:"retries"`
	Drain     Drain     `json:"drain"`
	Log       LogOutput `json:"log"`
}

// VM says where the gateway runs.
type VM struct {
	// ID is the VM's name. Required.
	ID string `json:"id"`
	// DataCentre is the VM's data centre. Required.
	DataCentre string `json:"data_centre"`
	// MemoryMB is the memory that the process may use, in MB. Default: no limit.
	MemoryMB int `json:"memory_mb"`
}

// Listener is a TCP listener.
type Listener struct {
	// Listen is the IP number and port. Required for callers and readiness; empty elsewhere: not served.
	Listen string `json:"listen"`
}

// Peers is the exchange with the other gateways.
type Peers struct {
	// Address is this VM's IP number. Required.
	Address string `json:"address"`
	// GossipPort is the UDP port of all gateways. Required.
	GossipPort int `json:"gossip_port"`
	// FetchPort is the TCP port at which gateways read each other's configuration. Required.
	FetchPort int `json:"fetch_port"`
	// Seeds are IP numbers, with or without a port, of some gateways to begin with. Default: none.
	Seeds []string `json:"seeds"`
}

// Platform is the platform's object API.
type Platform struct {
	// URL is the scheme, IP number and port. Required.
	URL string `json:"url"`
	// Token authenticates the gateway. Default: none is sent.
	Token string `json:"token"`
	// Timeout bounds a call that does not wait for changes. Default "2s".
	Timeout time.Duration `json:"timeout"`
	// PollWait is how long a call waits for changes. Default "2s".
	PollWait time.Duration `json:"poll_wait"`
}

// Retries is the budget of extra sends that all gateways share.
type Retries struct {
	// Ratio is the number of extra sends for each request. Default 0.2.
	Ratio float64 `json:"ratio"`
	// Slack is the number of extra sends in a window beyond the ratio, over all gateways. Default 50.
	Slack float64 `json:"slack"`
	// Window is the span in which they are counted. Default "10s".
	Window time.Duration `json:"window"`
}

// Drain is the shutdown.
type Drain struct {
	// Grace is the time between the signal and the end of the process. Default "8s".
	Grace time.Duration `json:"grace"`
}

// LogOutput is the log on standard output.
type LogOutput struct {
	// Level is debug, info, warning or error. Default "info".
	Level string `json:"level"`
}

// Defaults of Settings.
const (
	defaultPlatformTimeout = 2 * time.Second
	defaultPollWait        = 2 * time.Second
	defaultRetryRatio      = 0.2
	defaultRetrySlack      = 50
	defaultRetryWindow     = 10 * time.Second
	defaultGrace           = 8 * time.Second
)

// LoadSettings reads and checks the file at path. The error is a *failure.Failure of
// code invalid_object that names the file and each field in fault.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, failure.Wrap(err, failure.InvalidObject, "settings file "+path)
	}
	s, err := ParseSettings(data)
	if err != nil {
		return Settings{}, failure.Wrap(err, failure.InvalidObject, "settings file "+path)
	}
	return s, nil
}

// ParseSettings reads and checks settings given as JSON.
func ParseSettings(data []byte) (Settings, error) {
	s := Settings{
		Platform: Platform{Timeout: defaultPlatformTimeout, PollWait: defaultPollWait},
		Retries:  Retries{Ratio: defaultRetryRatio, Slack: defaultRetrySlack, Window: defaultRetryWindow},
		Drain:    Drain{Grace: defaultGrace},
		Log:      LogOutput{Level: "info"},
	}
	var raw map[string]any
	if err := json.Unmarshal(data, &raw); err != nil {
		return s, failure.Wrap(err, failure.InvalidObject, "not a JSON object")
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result: &s, TagName: "json", DecodeHook: mapstructure.StringToTimeDurationHookFunc(),
	})
	if err != nil {
		return s, failure.Wrap(err, failure.Internal, "settings decoder")
	}
	if err := decoder.Decode(raw); err != nil {
		return s, failure.Wrap(err, failure.InvalidObject, "fields of a wrong type")
	}
	return s, s.Validate().Err("settings refused")
}

// Validate lists the fields in fault.
func (s Settings) Validate() catalog.Problems {
	var problems catalog.Problems
	required := func(path, value string) {
		if value == "" {
			problems.Add(path, value, "a value")
		}
	}
	required("vm.id", s.VM.ID)
	required("vm.data_centre", s.VM.DataCentre)
	required("platform.url", s.Platform.URL)
	for path, value := range map[string]string{"callers.listen": s.Callers.Listen, "readiness.listen": s.Readiness.Listen} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			problems.Add(path, value, "an IP number and port")
		}
	}
	if _, err := netip.ParseAddr(s.Peers.Address); err != nil {
		problems.Add("peers.address", s.Peers.Address, "an IP number")
	}
	for path, port := range map[string]int{"peers.gossip_port": s.Peers.GossipPort, "peers.fetch_port": s.Peers.FetchPort} {
		if port < 1 || port > 65535 {
			problems.Add(path, port, "a port")
		}
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 || s.Retries.Window <= 0 {
		problems.Add("retries", s.Retries, "a ratio and a slack of zero or more and a window above zero")
	}
	if s.Drain.Grace <= 0 {
		problems.Add("drain.grace", s.Drain.Grace, "a time above zero")
	}
	return problems
}

// seedAddresses are the seeds without their ports.
func (p Peers) seedAddresses() []string {
	var addresses []string
	for _, seed := range p.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed // A seed without a port.
		}
		addresses = append(addresses, host)
	}
	return addresses
}
