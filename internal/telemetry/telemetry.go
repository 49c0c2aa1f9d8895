// Package telemetry builds the process's logger and its metrics scope.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	metricPrefix   = "primrosewell"
	reportInterval = time.Second
)

// sanitizer keeps the names that profiles, services and codes may have as tag values.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.'}},
	ReplacementCharacter: tallyprom.DefaultSanitizerOpts.ReplacementCharacter,
}

// Metrics is the root scope and the page that shows it.
type Metrics struct {
	Scope tally.Scope
	// Page serves the metrics in the Prometheus text format.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a scope that reports to a registry of its own.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          metricPrefix,
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &sanitizer,
	}, reportInterval)
	return &Metrics{
		Scope:   scope,
		Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		closer:  closer,
	}
}

// Close flushes and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// NewLogger returns a logger that writes one line of key=value pairs for each event.
// An unknown level means info; settings refuse it before.
func NewLogger(out io.Writer, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
	})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}

// SilentLogger returns a logger that writes nothing, the default of parts that are given none.
func SilentLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
