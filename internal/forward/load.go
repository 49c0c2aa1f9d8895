package forward

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

const (
	// usualPace is the figure of an endpoint where work takes as long as usual.
	usualPace = 100
	// loadCounts is the number of counts that begin the field: running and waiting requests, slots.
	loadCounts = 3
	// maxMalformedLoads bounds the endpoints whose malformed field is logged, and so the lines of such a
	// fault in the lifetime of a process. The counter goes on.
	maxMalformedLoads = 256
	// maxLoggedLoad bounds the bytes of a malformed field in the log.
	maxLoggedLoad = 64
)

// malformedLoads holds the ids of the endpoints whose malformed field was logged.
type malformedLoads struct {
	mu   sync.Mutex
	seen map[string]bool
}

// first reports whether an endpoint is a new one, and there is room to remember it.
func (m *malformedLoads) first(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen[id] || len(m.seen) >= maxMalformedLoads {
		return false
	}
	if m.seen == nil {
		m.seen = make(map[string]bool)
	}
	m.seen[id] = true
	return true
}

// recordPace records the pace that the endpoint's load field names, if it names one.
func (a *attempt) recordPace(now time.Time, response *httpio.Response) {
	field := a.f.Headers.Load
	if field == "" {
		return
	}
	if response.Header.StatusCode() < fasthttp.StatusMultipleChoices && !a.isSigned(response) {
		return // Not the endpoint's.
	}
	values := response.Header.PeekAll(field)
	if len(values) == 0 {
		return
	}
	pace, wellFormed := parseLoadPace(string(values[0]))
	if !wellFormed || len(values) > 1 {
		a.f.metrics.countMalformedLoad(a.service)
		if a.f.malformedLoads.first(a.choice.ID) {
			a.f.Log.WithFields(logrus.Fields{
				"event": "load_malformed", "service": a.service, "endpoint": a.choice.ID, "address": a.choice.Address,
				"fields": len(values), "value": string(values[0][:min(len(values[0]), maxLoggedLoad)]),
			}).Warn("an endpoint's load field is malformed and is ignored")
		}
		return
	}
	if pace > 0 {
		a.choice.NotePace(now, pace)
	}
}

// parseLoadPace returns the pace in a load field, relative to usual, or 0 if the field has the counts
// alone.
func parseLoadPace(value string) (pace float64, wellFormed bool) {
	figures := strings.Split(value, ",")
	if len(figures) != loadCounts && len(figures) != loadCounts+1 {
		return 0, false
	}
	for _, count := range figures[:loadCounts] {
		if _, err := strconv.ParseUint(strings.TrimSpace(count), 10, 32); err != nil {
			return 0, false
		}
	}
	if len(figures) == loadCounts {
		return 0, true
	}
	figure := strings.TrimSpace(figures[loadCounts])
	pace, err := strconv.ParseFloat(figure, 64)
	if err != nil || !(pace > 0) || math.IsInf(pace, 1) || strings.Trim(figure, "0123456789.") != "" {
		return 0, false
	}
	return pace / usualPace, true
}
