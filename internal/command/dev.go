package command

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"time"

	"github.com/google/subcommands"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/daemon"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/settings"
	"github.com/primrosewell/primrosewell/internal/standin/engine"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
	"github.com/primrosewell/primrosewell/internal/standin/service"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	devDataCentre = "dev-1"
	devReadyWait  = 10 * time.Second
	devSecretSize = 16 // bytes.
	loopbackAny   = "127.0.0.1:0"
)

// devCommand runs a daemon and its surroundings in one process.
type devCommand struct {
	std    streams
	listen string
	admin  string
	level  string
}

// Name implements subcommands.Command.
func (*devCommand) Name() string { return "dev" }

// Synopsis implements subcommands.Command.
func (*devCommand) Synopsis() string {
	return "run a daemon with stand-ins on loopback, for a first try"
}

// Usage implements subcommands.Command.
func (*devCommand) Usage() string {
	return `dev [-listen ADDR] [-admin-listen ADDR] [-log-level LEVEL]: run a daemon, a platform stand-in, two engine
stand-ins of unequal speed and a plain service in one process, and print commands that work.

Example:
  primrosewell dev
`
}

// SetFlags implements subcommands.Command.
func (c *devCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:8080", "loopback `address` for callers")
	f.StringVar(&c.admin, "admin-listen", "127.0.0.1:8081", "loopback `address` for operators")
	f.StringVar(&c.level, "log-level", "info", "log `level`")
}

// Execute implements subcommands.Command.
func (c *devCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for flagName, address := range map[string]string{"-listen": c.listen, "-admin-listen": c.admin} {
		if !isLoopback(address) {
			return c.std.usage(flagName + ": dev binds to loopback only, such as 127.0.0.1:8080")
		}
	}
	env, err := startSurroundings(ctx)
	if err != nil {
		return c.std.fail(err)
	}
	d, err := daemon.New(ctx, c.settings(env), daemon.Options{
		Version: Version,
		Log:     telemetry.NewLogger(c.std.err, c.level),
	})
	if err != nil {
		return c.std.fail(err)
	}
	go c.prepare(ctx, d, env)
	return c.std.runDaemon(ctx, d)
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// surroundings are the stand-ins and the secrets of one dev run.
type surroundings struct {
	platform string
	fast     string
	slow     string
	service  string

	apiKey        string
	operatorToken string
	sharedKey     string
	platformToken string
}

func startSurroundings(ctx context.Context) (surroundings, error) {
	env := surroundings{apiKey: newSecret(), operatorToken: newSecret(), sharedKey: newSecret(), platformToken: newSecret()}
	fast := engine.Options{Name: "fast", Models: []string{"bulletin"}, StepTime: 15 * time.Millisecond}
	slow := engine.Options{Name: "slow", Models: []string{"bulletin"}, StepTime: 40 * time.Millisecond}
	parts := []struct {
		address *string
		serve   func(context.Context, net.Listener) error
	}{
		{&env.platform, platformstandin.New(platformstandin.Options{Token: env.platformToken}).Serve},
		{&env.fast, engine.New(fast).Serve},
		{&env.slow, engine.New(slow).Serve},
		{&env.service, service.New(service.Options{Delay: 5 * time.Millisecond}).Serve},
	}
	for _, part := range parts {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopbackAny)
		if err != nil {
			return env, failure.Wrap(err, failure.Internal, "stand-in")
		}
		*part.address = listener.Addr().String()
		go func() { _ = part.serve(ctx, listener) }()
	}
	return env, nil
}

func newSecret() string {
	secret := make([]byte, devSecretSize)
	_, _ = rand.Read(secret)
	return hex.EncodeToString(secret)
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func (c *devCommand) settings(env surroundings) settings.Settings {
	s := settings.Defaults()
	s.VM = settings.VM{ID: "dev", DataCentre: devDataCentre}
	s.Callers.Listen = c.listen
	s.Admin.Listen = c.admin
	s.Admin.Operators = []settings.Operator{{Name: "dev", TokenHash: hashOf(env.operatorToken)}}
	s.Peers.Listen = loopbackAny
	s.Peers.SharedKey = env.sharedKey
	s.Platform.URL = "http://" + env.platform
	s.Platform.Token = env.platformToken
	s.Drain.NoticePeriod = 0
	s.Log.Level = c.level
	return s
}

// sample is one object of the sample configuration.
type sample struct {
	kind catalog.Kind
	name string
	spec any
}

func (env surroundings) samples() []sample {
	profile := func(p catalog.Profile) sample { return sample{catalog.KindProfile, p.Name, p} }
	endpoint := func(e catalog.Endpoint) sample {
		e.DataCentre = devDataCentre
		return sample{catalog.KindEndpoint, e.Name, e}
	}
	return []sample{
		{catalog.KindService, "bulletin-llm", catalog.Service{Name: "bulletin-llm", Kind: catalog.Engine, Models: []string{"bulletin"}}},
		{catalog.KindService, "receiver-api", catalog.Service{Name: "receiver-api", Kind: catalog.Plain}},
		endpoint(catalog.Endpoint{Name: "engine-fast", Service: "bulletin-llm", Address: env.fast, MaxConcurrent: 16}),
		endpoint(catalog.Endpoint{Name: "engine-slow", Service: "bulletin-llm", Address: env.slow, MaxConcurrent: 16}),
		endpoint(catalog.Endpoint{Name: "receiver-1", Service: "receiver-api", Address: env.service}),
		profile(catalog.Profile{Name: "pilot", Tier: 1, Target: catalog.Target{FirstTokenMS: 380, BetweenTokensMS: 50}}),
		profile(catalog.Profile{Name: "survey", Tier: 2, Target: catalog.Target{FirstTokenMS: 2000}}),
		profile(catalog.Profile{Name: "draft", Tier: 3, Target: catalog.Target{FirstTokenMS: 15000}}),
		{catalog.KindWorkspace, "harbour", catalog.Workspace{Name: "harbour", KeyHashes: []string{hashOf(env.apiKey)}, DefaultProfile: "pilot"}},
	}
}

// prepare applies the sample configuration and prints commands that work.
func (c *devCommand) prepare(ctx context.Context, d *daemon.Daemon, env surroundings) {
	base := "http://" + d.AdminAddress()
	client := admin.NewClient(base, env.operatorToken)
	if err := waitReady(ctx, d); err != nil {
		c.std.fail(err)
		return
	}
	for _, s := range env.samples() {
		spec, err := json.Marshal(s.spec)
		if err != nil {
			c.std.fail(err)
			return
		}
		if _, err := client.Apply(ctx, s.kind, s.name, spec, nil); err != nil {
			c.std.fail(err)
			return
		}
	}
	fmt.Fprintf(c.std.out, `
primrosewell dev is ready. In another terminal:

curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Primrosewell-Profile: pilot' -H 'Content-Type: application/json' -d '{"model":"bulletin","stream":true,"messages":[{"role":"user","content":"Is a storm coming?"}]}'

curl http://%[1]s/services/receiver-api/corrections -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: push-1' -d 'correction'

PRIMROSEWELL_ADMIN=%[3]s PRIMROSEWELL_TOKEN=%[4]s primrosewell status

`, d.CallersAddress(), env.apiKey, base, env.operatorToken)
}

func waitReady(ctx context.Context, d *daemon.Daemon) error {
	deadline := time.Now().Add(devReadyWait)
	for d.Ready() != nil && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.Internal, "dev was stopped")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return d.Ready()
}
