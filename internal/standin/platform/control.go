package platformstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

// Paths of the control door.
const (
	// FaultsPath takes a Faults by POST, and answers those in force to GET.
	FaultsPath = "/control/faults"
	// ControlVMsPath takes a VMsOrder by PUT.
	ControlVMsPath = "/control/vms"
	// StatsPath answers the counters.
	StatsPath = "/control/stats"
)

// VMsOrder replaces the list of VMs; readers see it after the lag.
type VMsOrder struct {
	VMs   []platform.VM `json:"vms"`
	LagMS int           `json:"lag_ms,omitempty"`
}

func (s *Server) addControl(mux *http.ServeMux) {
	mux.HandleFunc("GET "+FaultsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Faults()) })
	mux.HandleFunc("POST "+FaultsPath, func(w http.ResponseWriter, r *http.Request) { control(w, r, s.SetFaults) })
	mux.HandleFunc("PUT "+ControlVMsPath, func(w http.ResponseWriter, r *http.Request) {
		control(w, r, func(o VMsOrder) { s.SetVMs(o.VMs, time.Duration(o.LagMS)*time.Millisecond) })
	})
	mux.HandleFunc("GET "+StatsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
}

func control[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var order T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&order); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Status{Reason: string(platform.Invalid), Message: err.Error()})
		return
	}
	apply(order)
	writeJSON(w, http.StatusOK, struct{}{})
}
