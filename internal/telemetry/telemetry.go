// Package telemetry creates the logger and the metrics of a process.
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

// sanitizer allows '-' and '.' in tag values, since the names of profiles, services and
// codes may contain them.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.'}},
	ReplacementCharacter: tallyprom.DefaultSanitizerOpts.ReplacementCharacter,
}

// Metrics holds the root scope and the HTTP handler that exposes it.
type Metrics struct {
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics with a Prometheus registry of their own.
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

// Close reports the metrics once more and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// NewLogger returns a logger that writes one line of key=value pairs per entry. An unknown
// level means info; the validation of the settings rejects it earlier.
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

// SilentLogger returns a logger that discards everything: the default for components that
// are created without a logger.
func SilentLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
