package platformstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

// DutyCallsPath returns the DutyCalls received so far on GET.
const DutyCallsPath = "/control/duty-calls"

// defaultDutyCallsPerSecond is the number of calls a second that are taken from all gateways together.
const defaultDutyCallsPerSecond = 50

// DutyCall is a call of a duty that the platform has received. It does not check the epoch.
type DutyCall struct {
	At     time.Time       `json:"at"`
	Path   string          `json:"path"`
	Holder string          `json:"holder"`
	Epoch  int64           `json:"epoch"`
	Body   json.RawMessage `json:"body"`
	// Status is that of the response, or 0 if there was none.
	Status int `json:"status"`
}

// dutyCalls records the calls of duties and limits their rate.
type dutyCalls struct {
	mu      sync.Mutex
	calls   []DutyCall
	limiter *rate.Limiter
}

func newDutyCalls() *dutyCalls {
	return &dutyCalls{limiter: rate.NewLimiter(defaultDutyCallsPerSecond, defaultDutyCallsPerSecond)}
}

// DutyCalls returns the calls of duties received so far, in the order of their arrival.
func (s *Server) DutyCalls() []DutyCall {
	s.duties.mu.Lock()
	defer s.duties.mu.Unlock()
	return slices.Clone(s.duties.calls)
}

func (d *dutyCalls) record(call DutyCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, call)
}

// serveDuty takes a call of a duty, which needs no token.
func (s *Server) serveDuty(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	epoch, epochErr := strconv.ParseInt(r.Header.Get(wire.EpochHeader), 10, 64)
	call := DutyCall{At: s.options.Clock.Now(), Path: r.URL.Path, Holder: r.Header.Get(wire.HolderHeader), Epoch: epoch, Body: body, Status: http.StatusOK}
	faults := s.faults.get()
	switch {
	case err != nil || epochErr != nil || call.Holder == "" || !json.Valid(body):
		writeJSON(w, http.StatusBadRequest, wire.Status{Reason: string(platform.Invalid)})
		return
	case faults.DutyOutage == OutageRefuse:
		call.Status = http.StatusServiceUnavailable
	case faults.DutyOutage == OutageHang:
		call.Status = 0
	case !s.duties.limiter.AllowN(call.At, 1):
		call.Status = http.StatusTooManyRequests
	case faults.NoEndpoints && call.Path == wire.OrdersPath:
		call.Status = http.StatusConflict
	}
	s.duties.record(call)
	if call.Status == 0 {
		<-r.Context().Done()
		return
	}
	writeJSON(w, call.Status, struct{}{})
}
