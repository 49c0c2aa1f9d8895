package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

const (
	minSharedKeyLength = 16
	sha256HexLength    = 64
	minBodyBytes       = 1 << 10
	maxBodyBytes       = 64 << 20
	minMemoryMB        = 64 // The process takes about 30 MB at rest.
	maxMemoryMB        = 1 << 20
	maxAttempts        = 5
	maxClaimShards     = 64
)

var (
	idPattern        = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	tokenHashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
	logLevels        = []string{"error", "warn", "info", "debug"}
)

const allowedIDs = "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

// Validate returns every problem of s.
func (s Settings) Validate() catalog.Problems {
	var problems catalog.Problems
	s.validateVM(&problems)
	s.validateListeners(&problems)
	s.validateOperators(&problems)
	s.validatePeers(&problems)
	s.validatePlatform(&problems)
	s.validateLimits(&problems)
	return problems
}

func (s Settings) validateVM(problems *catalog.Problems) {
	problems.Check(idPattern.MatchString(s.VM.ID), "vm.id", quoted(s.VM.ID), allowedIDs)
	problems.Check(idPattern.MatchString(s.VM.DataCentre), "vm.data_centre", quoted(s.VM.DataCentre), allowedIDs)
	if s.VM.MemoryMB != 0 {
		checkInt(problems, "vm.memory_mb", s.VM.MemoryMB, minMemoryMB, maxMemoryMB)
	}
}

func (s Settings) validateListeners(problems *catalog.Problems) {
	checkAddress(problems, "callers.listen", s.Callers.Listen)
	checkAddress(problems, "admin.listen", s.Admin.Listen)
	checkAddress(problems, "peers.listen", s.Peers.Listen)
	checkTLS(problems, "callers.tls", s.Callers.TLS)
	checkTLS(problems, "admin.tls", s.Admin.TLS)
	checkTLS(problems, "peers.tls", s.Peers.TLS)
	checkInt(problems, "callers.max_body_bytes", s.Callers.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	checkDuration(problems, "callers.read_timeout", s.Callers.ReadTimeout, 100*time.Millisecond, 10*time.Minute)
	checkDuration(problems, "callers.idle_timeout", s.Callers.IdleTimeout, time.Second, time.Hour)
	checkDuration(problems, "callers.write_stall", s.Callers.WriteStallTimeout, time.Second, 10*time.Minute)
}

func (s Settings) validateOperators(problems *catalog.Problems) {
	problems.Check(len(s.Admin.Operators) > 0, "admin.operators", "none", "at least one operator")
	for i, o := range s.Admin.Operators {
		path := fmt.Sprintf("admin.operators[%d]", i)
		problems.Check(idPattern.MatchString(o.Name), path+".name", quoted(o.Name), allowedIDs)
		found := fmt.Sprintf("%d characters", len(o.TokenHash))
		problems.Check(tokenHashPattern.MatchString(o.TokenHash), path+".token_hash", found, fmt.Sprintf("a SHA-256 sum of %d hex digits", sha256HexLength))
	}
}

func (s Settings) validatePeers(problems *catalog.Problems) {
	if s.Peers.Advertise != "" {
		checkAddress(problems, "peers.advertise", s.Peers.Advertise)
	}
	if listen, err := netip.ParseAddrPort(s.Peers.Listen); err == nil && s.Peers.Advertise == "" {
		problems.Check(!listen.Addr().IsUnspecified(), "peers.advertise", "none", "an address, since peers.listen is unspecified")
	}
	for i, seed := range s.Peers.Seeds {
		checkAddress(problems, fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	found := fmt.Sprintf("%d characters", len(s.Peers.SharedKey))
	problems.Check(len(s.Peers.SharedKey) >= minSharedKeyLength, "peers.shared_key", found, "at least 16 characters")
	checkDuration(problems, "peers.heartbeat_interval", s.Peers.HeartbeatInterval, 50*time.Millisecond, 10*time.Second)
	checkDuration(problems, "peers.suspect_after", s.Peers.SuspectAfter, 2*s.Peers.HeartbeatInterval, time.Minute)
}

func (s Settings) validatePlatform(problems *catalog.Problems) {
	u, err := url.Parse(s.Platform.URL)
	valid := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	problems.Check(valid, "platform.url", quoted(s.Platform.URL), "an http or https URL, such as http://192.0.2.1:7000")
	problems.Check(s.Platform.Token != "", "platform.token", "none", "a token, here or as token_file")
	checkDuration(problems, "platform.timeout", s.Platform.Timeout, 50*time.Millisecond, time.Minute)
	checkDuration(problems, "platform.vm_list_interval", s.Platform.VMListInterval, 100*time.Millisecond, 3*time.Second)
}

func (s Settings) validateLimits(problems *catalog.Problems) {
	checkDuration(problems, "limits.silence", s.Limits.SilenceTimeout, 100*time.Millisecond, 10*time.Minute)
	checkInt(problems, "limits.attempts", s.Limits.MaxAttempts, 1, maxAttempts)
	checkInt(problems, "limits.kept_answer_bytes", s.Limits.StoredResponseBytes, 0, 1<<30)
	checkDuration(problems, "limits.load_interval", s.Limits.LoadInterval, 50*time.Millisecond, 3*time.Second)
	checkInt(problems, "claims.shards", s.Claims.Shards, 1, maxClaimShards)
	checkDuration(problems, "claims.retention", s.Claims.Retention, time.Hour, 168*time.Hour)
	checkDuration(problems, "drain.notice", s.Drain.NoticePeriod, 0, 10*time.Minute)
	problems.Check(slices.Contains(logLevels, s.Log.Level), "log.level", quoted(s.Log.Level), fmt.Sprintf("one of %v", logLevels))
}

func quoted(s string) string { return fmt.Sprintf("%q", s) }

func checkAddress(problems *catalog.Problems, path, value string) {
	_, err := netip.ParseAddrPort(value)
	problems.Check(err == nil, path, quoted(value), "an IP number and port, such as 127.0.0.1:8080")
}

func checkInt(problems *catalog.Problems, path string, n, low, high int) {
	problems.Check(n >= low && n <= high, path, n, fmt.Sprintf("%d to %d", low, high))
}

func checkDuration(problems *catalog.Problems, path string, d, low, high time.Duration) {
	problems.Check(d >= low && d <= high, path, d, fmt.Sprintf("%s to %s", low, high))
}

func checkTLS(problems *catalog.Problems, path string, t TLS) {
	problems.Check((t.CertFile == "") == (t.KeyFile == ""), path, "one of cert_file and key_file", "both or neither")
	problems.Check(t.CAFile == "" || t.Enabled(), path, "ca_file alone", "cert_file and key_file besides")
	checkFile(problems, path+".cert_file", t.CertFile)
	checkFile(problems, path+".key_file", t.KeyFile)
	checkFile(problems, path+".ca_file", t.CAFile)
}

func checkFile(problems *catalog.Problems, path, name string) {
	if name == "" {
		return
	}
	if _, err := os.Stat(name); err != nil {
		problems.Add(path, err, "a readable file")
	}
}
