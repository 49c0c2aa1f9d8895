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
	maxAttempts        = 5
	maxClaimShards     = 64
)

var (
	idPattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
	logLevels   = []string{"error", "warn", "info", "debug"}
)

const idAllowed = "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

// Validate returns everything that is wrong with s.
func (s Settings) Validate() catalog.Problems {
	var out catalog.Problems
	s.validateVM(&out)
	s.validateListeners(&out)
	s.validateOperators(&out)
	s.validatePeers(&out)
	s.validatePlatform(&out)
	s.validateLimits(&out)
	return out
}

func (s Settings) validateVM(out *catalog.Problems) {
	out.Check(idPattern.MatchString(s.VM.ID), "vm.id", quoted(s.VM.ID), idAllowed)
	out.Check(idPattern.MatchString(s.VM.DataCentre), "vm.data_centre", quoted(s.VM.DataCentre), idAllowed)
}

func (s Settings) validateListeners(out *catalog.Problems) {
	checkAddress(out, "callers.listen", s.Callers.Listen)
	checkAddress(out, "admin.listen", s.Admin.Listen)
	checkAddress(out, "peers.listen", s.Peers.Listen)
	checkTLS(out, "callers.tls", s.Callers.TLS)
	checkTLS(out, "admin.tls", s.Admin.TLS)
	checkTLS(out, "peers.tls", s.Peers.TLS)
	checkInt(out, "callers.max_body_bytes", s.Callers.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	checkDuration(out, "callers.read_timeout", s.Callers.ReadTimeout, 100*time.Millisecond, 10*time.Minute)
	checkDuration(out, "callers.idle_timeout", s.Callers.IdleTimeout, time.Second, time.Hour)
	checkDuration(out, "callers.write_stall", s.Callers.WriteStallTimeout, time.Second, 10*time.Minute)
}

func (s Settings) validateOperators(out *catalog.Problems) {
	out.Check(len(s.Admin.Operators) > 0, "admin.operators", "none", "at least one operator")
	for i, o := range s.Admin.Operators {
		path := fmt.Sprintf("admin.operators[%d]", i)
		out.Check(idPattern.MatchString(o.Name), path+".name", quoted(o.Name), idAllowed)
		found := fmt.Sprintf("%d characters", len(o.TokenHash))
		out.Check(hashPattern.MatchString(o.TokenHash), path+".token_hash", found, fmt.Sprintf("a SHA-256 sum of %d hex digits", sha256HexLength))
	}
}

func (s Settings) validatePeers(out *catalog.Problems) {
	if s.Peers.Advertise != "" {
		checkAddress(out, "peers.advertise", s.Peers.Advertise)
	}
	if listen, err := netip.ParseAddrPort(s.Peers.Listen); err == nil && s.Peers.Advertise == "" {
		out.Check(!listen.Addr().IsUnspecified(), "peers.advertise", "none", "an address, since peers.listen is unspecified")
	}
	for i, seed := range s.Peers.Seeds {
		checkAddress(out, fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	found := fmt.Sprintf("%d characters", len(s.Peers.SharedKey))
	out.Check(len(s.Peers.SharedKey) >= minSharedKeyLength, "peers.shared_key", found, "at least 16 characters")
	checkDuration(out, "peers.heartbeat_interval", s.Peers.HeartbeatInterval, 50*time.Millisecond, 10*time.Second)
	checkDuration(out, "peers.suspect_after", s.Peers.SuspectAfter, 2*s.Peers.HeartbeatInterval, time.Minute)
}

func (s Settings) validatePlatform(out *catalog.Problems) {
	u, err := url.Parse(s.Platform.URL)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	out.Check(ok, "platform.url", quoted(s.Platform.URL), "an http or https URL, such as http://192.0.2.1:7000")
	out.Check(s.Platform.Token != "", "platform.token", "none", "a token, here or as token_file")
	checkDuration(out, "platform.timeout", s.Platform.Timeout, 50*time.Millisecond, time.Minute)
	checkDuration(out, "platform.vm_list_interval", s.Platform.VMListInterval, 100*time.Millisecond, 3*time.Second)
}

func (s Settings) validateLimits(out *catalog.Problems) {
	checkDuration(out, "limits.silence", s.Limits.Silence, 100*time.Millisecond, 10*time.Minute)
	checkInt(out, "limits.attempts", s.Limits.Attempts, 1, maxAttempts)
	checkInt(out, "limits.kept_answer_bytes", s.Limits.KeptAnswerBytes, 0, 1<<30)
	checkDuration(out, "limits.load_interval", s.Limits.LoadInterval, 50*time.Millisecond, 3*time.Second)
	checkInt(out, "claims.shards", s.Claims.Shards, 1, maxClaimShards)
	checkDuration(out, "claims.retention", s.Claims.Retention, time.Hour, 168*time.Hour)
	checkDuration(out, "drain.notice", s.Drain.NoticePeriod, 0, 10*time.Minute)
	out.Check(slices.Contains(logLevels, s.Log.Level), "log.level", quoted(s.Log.Level), fmt.Sprintf("one of %v", logLevels))
}

func quoted(s string) string { return fmt.Sprintf("%q", s) }

func checkAddress(out *catalog.Problems, path, value string) {
	_, err := netip.ParseAddrPort(value)
	out.Check(err == nil, path, quoted(value), "an IP number and port, such as 127.0.0.1:8080")
}

func checkInt(out *catalog.Problems, path string, n, low, high int) {
	out.Check(n >= low && n <= high, path, n, fmt.Sprintf("%d to %d", low, high))
}

func checkDuration(out *catalog.Problems, path string, d, low, high time.Duration) {
	out.Check(d >= low && d <= high, path, d, fmt.Sprintf("%s to %s", low, high))
}

func checkTLS(out *catalog.Problems, path string, t TLS) {
	out.Check((t.CertFile == "") == (t.KeyFile == ""), path, "one of cert_file and key_file", "both or neither")
	out.Check(t.CAFile == "" || t.Enabled(), path, "ca_file alone", "cert_file and key_file besides")
	checkFile(out, path+".cert_file", t.CertFile)
	checkFile(out, path+".key_file", t.KeyFile)
	checkFile(out, path+".ca_file", t.CAFile)
}

func checkFile(out *catalog.Problems, path, name string) {
	if name == "" {
		return
	}
	if _, err := os.Stat(name); err != nil {
		out.Add(path, err, "a readable file")
	}
}
