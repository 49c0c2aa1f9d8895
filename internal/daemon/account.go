package daemon

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/samber/do/v2"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/settings"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// memoryLimitShare is the part of the VM's memory that is set as the soft limit of the garbage
	// collector.
	memoryLimitShare = 0.6
	// connectionBytes is what a connection takes: two buffers of 4 KB, the stacks of its goroutines and the
	// kernel's receive buffer.
	connectionBytes = 24<<10 + memory.InboundReceiveBytes
	// endpointConnectionBytes is what a connection to an endpoint or to the platform takes.
	endpointConnectionBytes = 24<<10 + memory.OutboundReceiveBytes
)

// newAccount returns the account of what this daemon holds for others.
func (d *Daemon) newAccount(s settings.Settings) *memory.Account {
	limits := memory.ThisMachine().Limits(s.VM.MemoryMB, s.Callers.MaxBodyBytes)
	return memory.NewAccount(func() memory.Limits { return limits }, func(r memory.Refusal) {
		memory.Report(d.options.Log, do.MustInvoke[*telemetry.Metrics](d.injector).Scope, &d.refusalLines, r)
	})
}

// dialEndpoint opens a connection to an endpoint that is accounted for.
func (d *Daemon) dialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: endpoint.DefaultConnectTimeout, Control: memory.LimitOutbound}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return memory.NewConn(conn, d.account, endpointConnectionBytes), nil
}

// dialPlatform opens a connection to the platform that is accounted for.
func (d *Daemon) dialPlatform(ctx context.Context, address string) (net.Conn, error) {
	conn, err := httpio.DialTCP(nil, memory.LimitOutbound)(ctx, address)
	if err != nil {
		return nil, err
	}
	return memory.NewConn(conn, d.account, endpointConnectionBytes), nil
}

// limitMemory sets the soft limit of the garbage collector.
func (d *Daemon) limitMemory() {
	if mb := d.settings.VM.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(int64(mb)<<20)))
	}
}

// updateAccountGauges updates the gauges of the account until ctx ends.
func (d *Daemon) updateAccountGauges(ctx context.Context) {
	scope := do.MustInvoke[*telemetry.Metrics](d.injector).Scope
	for ctx.Err() == nil {
		memory.UpdateGauges(scope, d.account)
		select {
		case <-ctx.Done():
		case <-time.After(gaugeInterval):
		}
	}
}
