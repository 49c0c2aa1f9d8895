package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// startMonitoring serves the readiness check and, if configured, the metrics.
func (g *Gateway) startMonitoring() error {
	if err := g.startReadiness(); err != nil {
		return err
	}
	if g.settings.Metrics.Listen == "" {
		return nil
	}
	listener, err := listen(context.Background(), g.settings.Metrics.Listen, memory.Operators)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "metrics listener")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", do.MustInvoke[*telemetry.Metrics](g.injector).Handler)
	server := &http.Server{
		Handler: mux, ConnState: memory.OnState, MaxHeaderBytes: memory.MaxHeaderBytes,
		ReadHeaderTimeout: metricsHeaderTimeout, ReadTimeout: metricsHeaderTimeout, WriteTimeout: metricsWriteTimeout, IdleTimeout: monitoringIdleTimeout,
	}
	g.serveHTTP(server, g.accounted(listener, memory.Operators), "metrics")
	return nil
}

func (g *Gateway) startReadiness() error {
	listener, err := listen(context.Background(), g.settings.Readiness.Listen, memory.Operators)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "readiness listener")
	}
	server := &fasthttp.Server{
		Handler: g.handleReadiness, NoDefaultServerHeader: true, ReadBufferSize: readinessBufferSize, MaxRequestBodySize: readinessBufferSize,
		ReadTimeout: metricsHeaderTimeout, WriteTimeout: metricsWriteTimeout, IdleTimeout: monitoringIdleTimeout, ConnState: memory.OnFastState,
	}
	listener = g.accounted(listener, memory.Operators)
	go func() {
		if err := server.Serve(listener); err != nil {
			g.log.WithFields(logrus.Fields{"event": "listener_failed", "listener": "readiness", "error": err}).Error("the readiness listener failed")
		}
	}()
	return nil
}

func (g *Gateway) serveHTTP(server *http.Server, listener net.Listener, name string) {
	go func() {
		if err := server.Serve(listener); err != nil {
			g.log.WithFields(logrus.Fields{"event": "listener_failed", "listener": name, "error": err}).Error("a listener failed")
		}
	}()
}

const (
	// metricsHeaderTimeout bounds the time for reading the header of a metrics request.
	metricsHeaderTimeout = 2 * time.Second
	// metricsWriteTimeout ends a response that is not read, and monitoringIdleTimeout closes an idle
	// connection. Checks and readings come every second to every minute.
	metricsWriteTimeout, monitoringIdleTimeout = 10 * time.Second, 2 * time.Minute
	// readinessBufferSize is the size, in bytes, of the buffer for the header of a readiness check, and
	// the largest body of one, which has none.
	readinessBufferSize = 4 << 10
)

func (g *Gateway) handleReadiness(c *fasthttp.RequestCtx) {
	if string(c.Path()) != g.options.Adapter.ReadinessPath {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if g.draining.Load() || g.tableHolder.Table() == nil {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
