// Package settings holds the start-up settings of a daemon, read from one JSON file that
// is fully validated before anything starts. Live configuration is in package catalog.
package settings

import "time"

// Settings is the content of the settings file, one field per section.
type Settings struct {
	VM       VM       `json:"vm"`
	Callers  Callers  `json:"callers"`
	Admin    Admin    `json:"admin"`
	Peers    Peers    `json:"peers"`
	Platform Platform `json:"platform"`
	Limits   Limits   `json:"limits"`
	Claims   Claims   `json:"claims"`
	Drain    Drain    `json:"drain"`
	Log      Log      `json:"log"`
}

// VM identifies the VM that this daemon runs on.
type VM struct {
	// ID is the VM's name, unique among entry VMs. Required.
	ID string `json:"id"`
	// DataCentre is the VM's data centre. Required.
	DataCentre string `json:"data_centre"`
	// MemoryMB is the memory that the process may use, in MB, 64 to 1048576, or 0 for the machine's.
	// Default 0.
	MemoryMB int `json:"memory_mb"`
}

// Callers configures the listener for the OpenAI HTTP API and the plain services.
type Callers struct {
	// Listen is the IP number and port. Required.
	Listen string `json:"listen"`
	// MaxBodyBytes bounds a request body, in bytes, 1024 to 67108864. Default 4194304.
	MaxBodyBytes int `json:"max_body_bytes"`
	// ReadTimeout bounds the time to read a complete request. Default "30s".
	ReadTimeout time.Duration `json:"read_timeout"`
	// IdleTimeout is the time after which an idle keep-alive connection is closed. Default "75s".
	IdleTimeout time.Duration `json:"idle_timeout"`
	// WriteStallTimeout ends a response when the caller reads no bytes for this long. Default "30s".
	WriteStallTimeout time.Duration `json:"write_stall"`
	// TLS serves HTTPS when set. Default: plain HTTP, for use behind a load balancer that
	// terminates TLS.
	TLS TLS `json:"tls"`
}

// Admin configures the listener of the admin API.
type Admin struct {
	// Listen is the IP number and port. Required.
	Listen string `json:"listen"`
	// Operators lists the operators that may use the API. Required: at least one.
	Operators []Operator `json:"operators"`
	// TLS serves HTTPS when set.
	TLS TLS `json:"tls"`
}

// Operator is a person or program with a token for the admin API.
type Operator struct {
	// Name is recorded with each change that the operator makes.
	Name string `json:"name"`
	// TokenHash is the SHA-256 sum of the operator's token, in hex.
	TokenHash string `json:"token_hash"`
}

// Peers configures the listener for the other daemons, and failure detection.
type Peers struct {
	// Listen is the IP number and port. Required.
	Listen string `json:"listen"`
	// Advertise is the IP number and port that other daemons connect to. Default: the same as Listen.
	Advertise string `json:"advertise"`
	// SharedKey authenticates daemons to each other, at least 16 characters. Required,
	// here or as SharedKeyFile.
	SharedKey string `json:"shared_key"`
	// SharedKeyFile is the path of a file that holds the shared key.
	SharedKeyFile string `json:"shared_key_file"`
	// Seeds are peer addresses to contact in addition to the platform's list of VMs. Default: none.
	Seeds []string `json:"seeds"`
	// HeartbeatInterval is the time between heartbeats. Default "250ms".
	HeartbeatInterval time.Duration `json:"heartbeat_interval"`
	// SuspectAfter is the time without contact after which a peer is suspected. Default "1s".
	SuspectAfter time.Duration `json:"suspect_after"`
	// TLS turns on mutual TLS between daemons when set.
	TLS TLS `json:"tls"`
}

// TLS names the files of a certificate. If all are empty, TLS is off.
type TLS struct {
	// CertFile and KeyFile are PEM files of the certificate and its key.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile is a PEM file of the certificate authorities that the other side's
	// certificate must chain to.
	CAFile string `json:"ca_file"`
}

// Enabled reports whether a certificate is configured.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Platform configures the client of the platform's object API.
type Platform struct {
	// URL is the API's base URL, such as http://192.0.2.1:7000. Required.
	URL string `json:"url"`
	// Token authenticates the daemon to the API. Required, here or as TokenFile.
	Token string `json:"token"`
	// TokenFile is the path of a file that holds the token.
	TokenFile string `json:"token_file"`
	// Timeout bounds each call. Default "2s".
	Timeout time.Duration `json:"timeout"`
	// VMListInterval is the time between reads of the list of VMs. Default "1s".
	VMListInterval time.Duration `json:"vm_list_interval"`
}

// Limits bounds the resources and the time that requests may use.
type Limits struct {
	// SilenceTimeout ends an attempt when its endpoint sends nothing for this long. Default "30s".
	SilenceTimeout time.Duration `json:"silence"`
	// MaxAttempts is the maximum number of endpoints tried for one request, 1 to 5. Default 3.
	MaxAttempts int `json:"attempts"`
	// StoredResponseBytes bounds the memory for stored responses to requests with an
	// idempotency key, in bytes. Default 16777216.
	StoredResponseBytes int `json:"kept_answer_bytes"`
	// LoadInterval is the time between reads of an endpoint's load report. Default "500ms".
	LoadInterval time.Duration `json:"load_interval"`
}

// Claims configures the claim log. Shards must be the same on all daemons.
type Claims struct {
	// Shards is the number of claim log shards, 1 to 64. Default 8.
	Shards int `json:"shards"`
	// Retention is the time for which an idempotency key is stored, 1h to 168h. Default "24h".
	Retention time.Duration `json:"retention"`
}

// Drain configures graceful shutdown.
type Drain struct {
	// NoticePeriod is the time between the first failed readiness check and the closing of the
	// callers' listener. Default "3s".
	NoticePeriod time.Duration `json:"notice"`
}

// Log configures the log on standard error.
type Log struct {
	// Level is "error", "warn", "info" or "debug". Default "info".
	Level string `json:"level"`
	// Decisions turns on a log line for each routing decision. Default true.
	Decisions bool `json:"decisions"`
}

// Defaults returns settings with the default of every optional field.
func Defaults() Settings {
	return Settings{
		Callers: Callers{
			MaxBodyBytes:      4 << 20,
			ReadTimeout:       30 * time.Second,
			IdleTimeout:       75 * time.Second,
			WriteStallTimeout: 30 * time.Second,
		},
		Peers:    Peers{HeartbeatInterval: 250 * time.Millisecond, SuspectAfter: time.Second},
		Platform: Platform{Timeout: 2 * time.Second, VMListInterval: time.Second},
		Limits: Limits{
			SilenceTimeout:      30 * time.Second,
			MaxAttempts:         3,
			StoredResponseBytes: 16 << 20,
			LoadInterval:        500 * time.Millisecond,
		},
		Claims: Claims{Shards: 8, Retention: 24 * time.Hour},
		Drain:  Drain{NoticePeriod: 3 * time.Second},
		Log:    Log{Level: "info", Decisions: true},
	}
}
