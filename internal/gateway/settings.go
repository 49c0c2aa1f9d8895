package gateway

import (
	"encoding/json"
	"net"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// Settings are the settings of a gateway, read from a JSON file at start-up. Unknown fields
// are ignored, so that a newer platform can add some.
type Settings struct {
	VM        VM        `json:"vm"`
	Callers   Listener  `json:"callers"`
	Readiness Listener  `json:"readiness"`
	Metrics   Listener  `json:"metrics"`
	Peers     Peers     `json:"peers"`
	Platform  Platform  `json:"platform"`
	Retries   Retries   `json:"retries"`
	Drain     Drain     `json:"drain"`
	Duties    Duties    `json:"duties"`
	Drill     Drill     `json:"drill"`
	Log       LogOutput `json:"log"`
}

// VM describes the VM on which the gateway runs.
type VM struct {
	// ID is the VM's name. Required.
	ID string `json:"id"`
	// DataCentre is the VM's data centre. Required.
	DataCentre string `json:"data_centre"`
	// MemoryMB is the memory that the process may use, in MB. Default: no limit.
	MemoryMB int `json:"memory_mb"`
}

// Listener configures a TCP listener.
type Listener struct {
	// Listen is the IP address and port. It is required for callers and readiness; an empty
	// address disables the metrics listener.
	Listen string `json:"listen"`
}

// Peers configures the exchange with the other gateways.
type Peers struct {
	// Address is this VM's IP address. Required.
	Address string `json:"address"`
	// GossipPort is the UDP port for gossip, the same on all gateways. Required.
	GossipPort int `json:"gossip_port"`
	// FetchPort is the TCP port on which gateways fetch snapshots from each other. Required.
	FetchPort int `json:"fetch_port"`
	// Seeds are the IP addresses of gateways to contact first. A port is ignored. Default: none.
	Seeds []string `json:"seeds"`
}

// Platform configures the access to the platform's object API.
type Platform struct {
	// URL is the scheme, IP address and port. Required.
	URL string `json:"url"`
	// Token authenticates the gateway. Default: none is sent.
	Token string `json:"token"`
	// Timeout bounds calls other than watches. Default "2s".
	Timeout time.Duration `json:"timeout"`
	// PollWait is how long a watch call waits for changes. Default "2s".
	PollWait time.Duration `json:"poll_wait"`
}

// Retries configures the retry budget that all gateways share. It bounds the extra sends: all
// sends of a request after its first.
type Retries struct {
	// Ratio is the number of extra sends allowed per request. Default 0.2.
	Ratio float64 `json:"ratio"`
	// Slack is the number of extra sends allowed per window beyond the ratio, over all
	// gateways. Default 50.
	Slack float64 `json:"slack"`
	// Window is the length of the window in which requests and extra sends are counted.
	// Default "10s".
	Window time.Duration `json:"window"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// Grace is the longest time between the signal and the end of the process. Default "8s".
	Grace time.Duration `json:"grace"`
}

// Duties configures the calls to the platform that one gateway at a time makes.
type Duties struct {
	// Names are the platform's names of the duties. Default: none.
	Names []string `json:"names"`
	// URL is the scheme, IP address and port of the platform's API for these calls. Required if
	// there are duties.
	URL string `json:"url"`
	// CallsPerSecond is the number of these calls that the platform accepts from all gateways
	// together. Default 50.
	CallsPerSecond float64 `json:"calls_per_second"`
	// Lease is the time for which a holder keeps a duty without a renewal. Default "3s".
	Lease time.Duration `json:"lease"`
	// UsageWindow is the length of the windows of usage reports. Default "5s".
	UsageWindow time.Duration `json:"usage_window"`
	// UsageDue is the time after the end of a window by which its report is due. Default "10s".
	UsageDue time.Duration `json:"usage_due"`
}

// Drill rehearses failures; it can be changed at run time.
type Drill struct {
	// CutFromEndpoints makes new connections to endpoints fail: "refuse" or "hang". Default: none do.
	CutFromEndpoints string `json:"cut_from_endpoints"`
	// CutFromPeers has the IP addresses of the peers with which nothing is exchanged, or "all".
	// Default: none.
	CutFromPeers []string `json:"cut_from_peers"`
}

// LogOutput configures the log on standard output.
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
	defaultDutyCallRate    = 50
	defaultDutyLease       = 3 * time.Second
	defaultUsageWindow     = 5 * time.Second
	defaultUsageDue        = 10 * time.Second
)

// LoadSettings reads and validates the file at path. The error is a *failure.Failure with
// code invalid_object that names the file and each invalid field.
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

// ParseSettings decodes JSON settings, fills in the defaults and validates the result.
func ParseSettings(data []byte) (Settings, error) {
	s := Settings{
		Platform: Platform{Timeout: defaultPlatformTimeout, PollWait: defaultPollWait},
		Retries:  Retries{Ratio: defaultRetryRatio, Slack: defaultRetrySlack, Window: defaultRetryWindow},
		Drain:    Drain{Grace: defaultGrace},
		Duties:   Duties{CallsPerSecond: defaultDutyCallRate, Lease: defaultDutyLease, UsageWindow: defaultUsageWindow, UsageDue: defaultUsageDue},
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

// Validate returns the problem of each invalid field.
func (s Settings) Validate() catalog.Problems {
	var problems catalog.Problems
	required := func(path, value string) {
		if value == "" {
			problems.Add(path, value, "a value")
		}
	}
	required("vm.id", s.VM.ID)
	required("vm.data_centre", s.VM.DataCentre)
	s.Platform.validate(&problems)
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		problems.Add("log.level", s.Log.Level, "debug, info, warning or error")
	}
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
	if mode := s.Drill.CutFromEndpoints; mode != "" && mode != drillRefuse && mode != drillHang {
		problems.Add("drill.cut_from_endpoints", mode, "refuse, hang or nothing")
	}
	for _, peer := range s.Drill.CutFromPeers {
		if _, err := netip.ParseAddr(peer); err != nil && peer != drillAll {
			problems.Add("drill.cut_from_peers", peer, "IP numbers, or all")
		}
	}
	if s.Drain.Grace <= 0 {
		problems.Add("drain.grace", s.Drain.Grace, "a time above zero")
	}
	return problems
}

func (p Platform) validate(problems *catalog.Problems) {
	if u, err := url.Parse(p.URL); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		problems.Add("platform.url", p.URL, "a URL with a scheme and an IP number")
	}
	for path, d := range map[string]time.Duration{"platform.timeout": p.Timeout, "platform.poll_wait": p.PollWait} {
		if d <= 0 {
			problems.Add(path, d, "a time above zero")
		}
	}
}

// minDutyLease is the shortest lease. The store may take half of the lease for an answer, and with a
// shorter one a slow answer or a pause of the process would end it.
const minDutyLease = 500 * time.Millisecond

// Problems returns the problem of each invalid field. They don't make the settings invalid: the gateway
// serves without duties.
func (d Duties) Problems() catalog.Problems {
	var problems catalog.Problems
	u, err := url.Parse(d.URL)
	if err == nil {
		_, err = netip.ParseAddrPort(u.Host)
	}
	if err != nil || u.Scheme != "http" {
		problems.Add("duties.url", d.URL, "http, an IP number and a port")
	}
	if d.CallsPerSecond <= 0 {
		problems.Add("duties.calls_per_second", d.CallsPerSecond, "a number above zero")
	}
	if d.Lease < minDutyLease {
		problems.Add("duties.lease", d.Lease, "at least "+minDutyLease.String())
	}
	for path, t := range map[string]time.Duration{"duties.usage_window": d.UsageWindow, "duties.usage_due": d.UsageDue} {
		if t <= 0 {
			problems.Add(path, t, "a time above zero")
		}
	}
	return problems
}

// seedAddresses returns the seeds without their ports.
func (p Peers) seedAddresses() []string {
	var addresses []string
	for _, seed := range p.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed // The seed has no port.
		}
		addresses = append(addresses, host)
	}
	return addresses
}
