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
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// startPages serves readiness, and metrics where they are asked for.
func (g *Gateway) startPages() error {
	if err := g.startReadiness(); err != nil {
		return err
	}
	if g.settings.Metrics.Listen == "" {
		return nil
	}
	listener, err := listen(context.Background(), g.settings.Metrics.Listen)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "metrics listener")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", do.MustInvoke[*telemetry.Metrics](g.parts).Handler)
	g.serveHTTP(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, listener, "metrics")
	return nil
}

func (g *Gateway) startReadiness() error {
	listener, err := listen(context.Background(), g.settings.Readiness.Listen)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "readiness listener")
	}
	server := &fasthttp.Server{Handler: g.handleReadiness, NoDefaultServerHeader: true, ReadBufferSize: readinessBuffer}
	go func() {
		if err := server.Serve(listener); err != nil {
			g.log.WithFields(logrus.Fields{"event": "listener_failed", "listener": "readiness", "error": err}).Error("readiness is no longer served")
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
	// headerTimeout bounds the time in which a reader of metrics sends its request.
	headerTimeout = 2 * time.Second
	// readinessBuffer holds the header of a readiness check.
	readinessBuffer = 4 << 10
)

func (g *Gateway) handleReadiness(c *fasthttp.RequestCtx) {
	if string(c.Path()) != g.options.Adapter.ReadinessPath {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if g.draining.Load() || g.holder.Table() == nil {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
