package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	reportTimeout  = 2 * time.Second
	maxReportBytes = 4 << 20
)

// Metrics that a load report is read from. In each list, the first metric present is used.
var (
	runningMetrics = []string{"vllm:num_requests_running", "requests_in_flight"}
	waitingMetrics = []string{"vllm:num_requests_waiting", "requests_waiting"}
	cacheMetrics   = []string{"vllm:kv_cache_usage_perc", "vllm:gpu_cache_usage_perc"}
	leavingMetrics = []string{"endpoint:leaving"}
)

// Load implements routing.LoadReader by reading GET /metrics. Errors are *Error.
func (c *Client) Load(ctx context.Context, e catalog.Endpoint) (routing.Load, error) {
	data, release, err := c.getReport(ctx, e, "/metrics")
	if err != nil {
		return routing.Load{}, err
	}
	defer release()
	return parseLoad(e.Name, data)
}

func parseLoad(name string, data io.Reader) (routing.Load, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(data)
	if err != nil {
		return routing.Load{}, &Error{Cause: Malformed, Endpoint: name, Message: "the load report can not be read", Sent: true, wrapped: err}
	}
	return routing.Load{
		Endpoint:  name,
		Running:   int(sumSeries(families, runningMetrics)),
		Waiting:   int(sumSeries(families, waitingMetrics)),
		CacheUsed: sumSeries(families, cacheMetrics),
		Leaving:   sumSeries(families, leavingMetrics) > 0,
	}, nil
}

// sumSeries returns the sum of all series of the first metric present, or zero.
func sumSeries(families map[string]*dto.MetricFamily, names []string) float64 {
	for _, name := range names {
		family, ok := families[name]
		if !ok {
			continue
		}
		total := 0.0
		for _, m := range family.GetMetric() {
			total += m.GetGauge().GetValue() + m.GetUntyped().GetValue()
		}
		return total
	}
	return 0
}

// Types of cache events.
const (
	// CacheStored means that blocks were added to the cache.
	CacheStored = "stored"
	// CacheRemoved means that blocks were removed from it.
	CacheRemoved = "removed"
)

// CacheEvent reports that prefix blocks were added to or removed from an engine's cache.
type CacheEvent struct {
	Sequence int64    `json:"seq"`
	Type     string   `json:"type"` // CacheStored or CacheRemoved.
	Blocks   []uint64 `json:"blocks"`
}

type eventPage struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvents returns the events with sequence numbers above since, and whether any
// are missing. After a gap, the reader must discard its earlier view of the engine's
// cache. Errors are *Error.
func (c *Client) CacheEvents(ctx context.Context, e catalog.Endpoint, since int64) (events []CacheEvent, gap bool, err error) {
	data, release, err := c.getReport(ctx, e, "/kv_events?since="+url.QueryEscape(strconv.FormatInt(since, 10)))
	if err != nil {
		return nil, false, err
	}
	defer release()
	var page eventPage
	if err := json.NewDecoder(data).Decode(&page); err != nil {
		return nil, false, &Error{Cause: Malformed, Endpoint: e.Name, Message: "the cache events can not be read", Sent: true, wrapped: err}
	}
	last := since
	for _, event := range page.Events {
		gap = gap || event.Sequence != last+1
		last = event.Sequence
	}
	return page.Events, gap, nil
}

// getReport reads a report of an endpoint within reportTimeout. release is to be called when it has been
// decoded.
func (c *Client) getReport(ctx context.Context, e catalog.Endpoint, path string) (data io.Reader, release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	x := newExchange(ctx, e.Name, 0)
	defer x.cancel(nil)
	request, err := newRequest(http.MethodGet, "http://"+e.Address+path, nil)
	if err != nil {
		return nil, nil, &Error{Cause: NotReached, Endpoint: e.Name, Message: "bad address", wrapped: err}
	}
	response, err := x.roundTrip(c.reports, request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, nil, x.statusError(response)
	}
	return readReport(x, response.Body, c.reportRoom)
}

func readReport(x *exchange, body io.Reader, room *memory.Quota) (data io.Reader, release func(), err error) {
	report, err := memory.ReadBody(body, room, -1, room.ResponseLimit(maxReportBytes))
	release = func() { room.Release(cap(report)) }
	if err == nil {
		return bytes.NewReader(report), release, nil
	}
	release()
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, nil, x.responseError(Malformed, "the report is longer than allowed")
	case errors.Is(err, memory.ErrNoRoom):
		return nil, nil, x.responseError(Failed, "there is no room for the report")
	}
	return nil, nil, x.classify(err)
}
