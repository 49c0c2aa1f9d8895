package engine

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// report is the load as it was when it was last sampled.
type report struct {
	at      time.Time
	running int
	waiting int
	cache   float64
	leaving bool
}

// sample returns a load report that is at most ReportLag old.
func (s *Server) sample(now time.Time) report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.reported.at) >= s.options.ReportLag {
		s.reported = report{
			at: now, running: len(s.running), waiting: len(s.waiting), cache: s.cache.used(), leaving: s.leaving,
		}
	}
	return s.reported
}

// metrics renders the load in the Prometheus text format, under the names that
// published engines use. endpoint:leaving is 1 on an engine that is going away.
func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	now := s.sample(time.Now())
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value float64) {
		g := prometheus.NewGauge(prometheus.GaugeOpts{
			Name: name, Help: help, ConstLabels: prometheus.Labels{"model_name": s.options.Models[0]},
		})
		g.Set(value)
		registry.MustRegister(g)
	}
	gauge("vllm:num_requests_running", "Requests in the running batch.", float64(now.running))
	gauge("vllm:num_requests_waiting", "Requests that wait for the batch.", float64(now.waiting))
	gauge("vllm:kv_cache_usage_perc", "Used share of the KV cache, 0 to 1.", now.cache)
	leaving := 0.0
	if now.leaving {
		leaving = 1
	}
	gauge("endpoint:leaving", "1 if the engine is going away.", leaving)
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(w, r)
}
