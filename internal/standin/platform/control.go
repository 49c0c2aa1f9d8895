package platformstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

// Paths of the control API, through which tests inject faults and set the VMs.
const (
	// FaultsPath sets the Faults on POST and returns the current ones on GET.
	FaultsPath = "/control/faults"
	// ControlVMsPath accepts a SetVMsRequest on PUT.
	ControlVMsPath = "/control/vms"
	// RestorePath accepts a RestoreRequest on POST; see Server.Restore.
	RestorePath = "/control/restore"
	// StatsPath returns the call counters on GET; see Server.Stats.
	StatsPath = "/control/stats"
)

// SetVMsRequest replaces the list of VMs. Reads return the new list after LagMS milliseconds.
type SetVMsRequest struct {
	VMs   []platform.VM `json:"vms"`
	LagMS int           `json:"lag_ms,omitempty"`
}

// RestoreRequest makes the platform come back from a copy of its state that is AgeMS
// milliseconds old; see Server.Restore.
type RestoreRequest struct {
	AgeMS int `json:"age_ms"`
}

func (s *Server) addControlRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+RestorePath, func(w http.ResponseWriter, r *http.Request) {
		handleControl(w, r, func(o RestoreRequest) { s.Restore(time.Duration(o.AgeMS) * time.Millisecond) })
	})
	mux.HandleFunc("GET "+FaultsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Faults()) })
	mux.HandleFunc("POST "+FaultsPath, func(w http.ResponseWriter, r *http.Request) { handleControl(w, r, s.SetFaults) })
	mux.HandleFunc("PUT "+ControlVMsPath, func(w http.ResponseWriter, r *http.Request) {
		handleControl(w, r, func(o SetVMsRequest) { s.SetVMs(o.VMs, time.Duration(o.LagMS)*time.Millisecond) })
	})
	mux.HandleFunc("GET "+DutyCallsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.DutyCalls()) })
	mux.HandleFunc("GET "+StatsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
}

// handleControl decodes a JSON request, rejects unknown fields, and passes it to apply.
func handleControl[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var request T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Status{Reason: string(platform.Invalid), Message: err.Error()})
		return
	}
	apply(request)
	writeJSON(w, http.StatusOK, struct{}{})
}
