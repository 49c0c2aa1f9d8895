package gateway

import (
	"context"
	"net"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// httpConnectionBytes is what a connection of a net/http or fasthttp server takes: two buffers of
	// 4 KB, two stacks and the kernel's receive buffer.
	httpConnectionBytes = 24<<10 + memory.InboundReceiveBytes
	// endpointConnectionBytes is what a connection to an endpoint or peer takes: its read buffer, the ids
	// of the requests that it has carried, and the kernel's receive buffer.
	endpointConnectionBytes = 16<<10 + memory.OutboundReceiveBytes
)

// newAccount returns the account of what this gateway holds for others.
func (g *Gateway) newAccount() *memory.Account {
	machine := memory.ThisMachine()
	return memory.NewAccount(func() memory.Limits { return machine.Limits(g.inForce.Load().VM.MemoryMB, g.limits().BodyBytes) }, func(r memory.Refusal) {
		memory.Report(g.log, do.MustInvoke[*telemetry.Metrics](g.injector).Scope, &g.refusalLines, r)
	})
}

// accounted returns a listener that accounts for its connections.
func (g *Gateway) accounted(listener net.Listener, class memory.Class) net.Listener {
	return memory.NewListener(listener, g.account, class, httpConnectionBytes)
}

// accountedDial returns dial with its connections accounted for.
func (g *Gateway) accountedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return memory.NewConn(conn, g.account, endpointConnectionBytes), nil
	}
}

// logRejection logs a request that could not be read. The lines are limited, as callers may send such
// requests at will.
func (g *Gateway) logRejection(remote net.Addr, fields logrus.Fields) {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		host = remote.String()
	}
	if withheld, allowed := g.rejectionLines.Allow(time.Now(), host); allowed {
		g.log.WithFields(fields).WithFields(logrus.Fields{"event": "rejected", "remote": remote, "withheld": withheld}).Info("a request could not be read")
	}
}

// updateAccountGauges sets the gauges of the account.
func (g *Gateway) updateAccountGauges(scope tally.Scope) { memory.UpdateGauges(scope, g.account) }
