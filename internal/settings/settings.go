// Package settings holds the start-up settings of a daemon: one JSON file, checked
// whole before anything starts. Live configuration is in package catalog.
package settings

import "time"

// Settings is the whole file.
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

// VM says where this daemon runs.
type VM struct {
	// ID is the VM's name, unique among entry VMs. Required.
	ID string `json:"id"`
	// DataCentre is the VM's data centre. Required.
	DataCentre string `json:"data_centre"`
}

// Callers is the listener for the OpenAI HTTP API and the plain services.
type Callers struct {
	// Listen is the IP number and port. Required.
	Listen string `json:"listen"`
	// MaxBodyBytes bounds a request body, in bytes, 1024 to 67108864. Default 4194304.
	MaxBodyBytes int `json:"max_body_bytes"`
	// ReadTimeout bounds the time in which a caller sends its whole request. Default "30s".
	ReadTimeout time.Duration `json:"read_timeout"`
	// IdleTimeout closes kept connections without a request. Default "75s".
	IdleTimeout time.Duration `json:"idle_timeout"`
	// WriteStall ends an answer whose caller takes no bytes for so long. Default "30s".
	WriteStallTimeout time.Duration `json:"write_stall"`
	// TLS serves HTTPS when set. Default: plain HTTP, for use behind a balancer that ends TLS.
	TLS TLS `json:"tls"`
}

// Admin is the listener for operators.
type Admin struct {
	// Listen is the IP number and port. Required.
	Listen string `json:"listen"`
	// Operators are who may use it. Required: at least one.
	Operators []Operator `json:"operators"`
	// TLS serves HTTPS when set.
	TLS TLS `json:"tls"`
}

// Operator is a person or program that may use the admin API.
type Operator struct {
	// Name appears in the change history.
	Name string `json:"name"`
	// TokenHash is the SHA-256 sum of the operator's token, in hex.
	TokenHash string `json:"token_hash"`
}

// Peers is the listener for the other daemons.
type Peers struct {
	// Listen is the IP number and port. Required.
	Listen string `json:"listen"`
	// Advertise is the address that other daemons use. Default: the same as Listen.
	Advertise string `json:"advertise"`
	// SharedKey authenticates daemons to each other, at least 16 characters. Required,
	// here or as SharedKeyFile.
	SharedKey string `json:"shared_key"`
	// SharedKeyFile holds the shared key.
	SharedKeyFile string `json:"shared_key_file"`
	// Seeds are peer addresses to try besides the platform's list. Default: none.
	Seeds []string `json:"seeds"`
	// HeartbeatInterval is the time between heartbeats. Default "250ms".
	HeartbeatInterval time.Duration `json:"heartbeat_interval"`
	// SuspectAfter is the silence after which a peer is suspected. Default "1s".
	SuspectAfter time.Duration `json:"suspect_after"`
	// TLS turns on mutual TLS between daemons when set.
	TLS TLS `json:"tls"`
}

// TLS names the files of a certificate. All empty means no TLS.
type TLS struct {
	// CertFile and KeyFile are PEM files of the certificate and its key.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile is a PEM file of the authorities that clients' certificates must chain to.
	CAFile string `json:"ca_file"`
}

// Enabled reports whether a certificate is named.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Platform is the platform's object API.
type Platform struct {
	// URL is its base, such as http://192.0.2.1:7000. Required.
	URL string `json:"url"`
	// Token authenticates the daemon. Required, here or as TokenFile.
	Token string `json:"token"`
	// TokenFile holds the token.
	TokenFile string `json:"token_file"`
	// Timeout bounds one call. Default "2s".
	Timeout time.Duration `json:"timeout"`
	// VMListInterval is the time between readings of the list of VMs. Default "1s".
	VMListInterval time.Duration `json:"vm_list_interval"`
}

// Limits bounds what requests may use.
type Limits struct {
	// Silence ends an attempt whose endpoint sends nothing for so long. Default "30s".
	Silence time.Duration `json:"silence"`
	// Attempts is the most endpoints that one request may try, 1 to 5. Default 3.
	Attempts int `json:"attempts"`
	// KeptAnswerBytes bounds the memory for answers of keyed work, in bytes. Default 16777216.
	KeptAnswerBytes int `json:"kept_answer_bytes"`
	// LoadInterval is the time between readings of an endpoint's load report. Default "500ms".
	LoadInterval time.Duration `json:"load_interval"`
}

// Claims tunes the claim log. All daemons must agree on Shards.
type Claims struct {
	// Shards is the number of claim log shards, 1 to 64. Default 8.
	Shards int `json:"shards"`
	// Retention is how long an idempotency key is kept, 1h to 168h. Default "24h".
	Retention time.Duration `json:"retention"`
}

// Drain shapes a graceful shutdown.
type Drain struct {
	// Notice is how long readiness fails before the listener closes. Default "3s".
	NoticePeriod time.Duration `json:"notice"`
}

// Log shapes the log on standard error.
type Log struct {
	// Level is "error", "warn", "info" or "debug". Default "info".
	Level string `json:"level"`
	// Decisions turns on the line for each routing decision. Default true.
	Decisions bool `json:"decisions"`
}

// Defaults returns settings with every optional field set.
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
			Silence:         30 * time.Second,
			Attempts:        3,
			KeptAnswerBytes: 16 << 20,
			LoadInterval:    500 * time.Millisecond,
		},
		Claims: Claims{Shards: 8, Retention: 24 * time.Hour},
		Drain:  Drain{NoticePeriod: 3 * time.Second},
		Log:    Log{Level: "info", Decisions: true},
	}
}
