package engine

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// loadReport is a snapshot of the load.
type loadReport struct {
	sampledAt  time.Time
	running    int
	waiting    int
	cacheUsage float64
	leaving    bool
}

// sampleLoad returns the last load report, or a new one if it is at least ReportLag old.
func (s *Server) sampleLoad(now time.Time) loadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastReport.sampledAt) >= s.options.ReportLag {
		s.lastReport = loadReport{
			sampledAt: now, running: len(s.running), waiting: len(s.waiting), cacheUsage: s.cache.usedRatio(), leaving: s.leaving,
		}
	}
	return s.lastReport
}

// metrics serves the load in the Prometheus text format, under the metric names of
// published engines. endpoint:leaving is 1 on an engine that is about to shut down.
func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	load := s.sampleLoad(time.Now())
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value float64) {
		g := prometheus.NewGauge(prometheus.GaugeOpts{
			Name: name, Help: help, ConstLabels: prometheus.Labels{"model_name": s.options.Models[0]},
		})
		g.Set(value)
		registry.MustRegister(g)
	}
	gauge("vllm:num_requests_running", "Requests in the running batch.", float64(load.running))
	gauge("vllm:num_requests_waiting", "Requests that wait for the batch.", float64(load.waiting))
	gauge("vllm:kv_cache_usage_perc", "Used share of the KV cache, 0 to 1.", load.cacheUsage)
	leaving := 0.0
	if load.leaving {
		leaving = 1
	}
	gauge("endpoint:leaving", "1 if the engine is going away.", leaving)
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(w, r)
}
