// Package admin is the operators' side: an HTTP API for everything that the
// command line does, its client, and the types that both exchange.
package admin

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/distribution"
)

// Status describes one daemon and what it knows of the others.
type Status struct {
	VM          string           `json:"vm"`
	Incarnation string           `json:"incarnation"`
	DataCentre  string           `json:"data_centre"`
	Version     string           `json:"version"`
	Revision    int64            `json:"revision"`
	Ready       bool             `json:"ready"`
	Draining    bool             `json:"draining"`
	InFlight    int              `json:"in_flight"`
	Members     []MemberStatus   `json:"members"`
	Pools       []PoolStatus     `json:"pools"`
	Endpoints   []EndpointStatus `json:"endpoints"`
	Quarantine  []DigestStatus   `json:"quarantine"`
}

// MemberStatus is one daemon.
type MemberStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Revision   int64  `json:"revision"`
	// InForce is true if the member has this daemon's revision or a later one.
	InForce bool `json:"in_force"`
}

// PoolStatus is one pool's queue, as its broker sees it.
type PoolStatus struct {
	Pool    string        `json:"pool"`
	Broker  string        `json:"broker"`
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	Classes []ClassStatus `json:"classes"`
}

// ClassStatus is one class in a pool's queue.
type ClassStatus struct {
	Class      string        `json:"class"`
	Tier       int           `json:"tier"`
	Waiting    int           `json:"waiting"`
	Running    int           `json:"running"`
	Granted    int64         `json:"granted"`
	Refused    int64         `json:"refused"`
	OldestWait time.Duration `json:"oldest_wait_ns"`
}

// EndpointStatus is one endpoint, as the broker of its pool sees it.
type EndpointStatus struct {
	Service    string `json:"service"`
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// State is the health, "leaving", or "reserved" for a suspect that runs alone.
	State   string `json:"state"`
	Limit   int    `json:"limit"`
	Running int    `json:"running"`
	// Speed is the latency over the pool's median: 2 is twice as slow.
	Speed float64 `json:"speed"`
}

// DigestStatus is a request content that crashed endpoints.
type DigestStatus struct {
	Digest    string        `json:"digest"`
	State     string        `json:"state"`
	Endpoints []string      `json:"endpoints"`
	ExpiresIn time.Duration `json:"expires_in_ns"`
}

// RecordList is the answer to a listing.
type RecordList struct {
	Revision int64            `json:"revision"`
	Items    []catalog.Record `json:"items"`
}

// ErrorBody is the body of every error.
type ErrorBody struct {
	Error struct {
		Code         string `json:"code"`
		Outcome      string `json:"outcome"`
		Message      string `json:"message"`
		RequestID    string `json:"request_id"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// ApplyResult says what became of a change.
type ApplyResult = distribution.ApplyResult

// DrainResult answers an order to drain.
type DrainResult struct {
	VM       string `json:"vm"`
	InFlight int    `json:"in_flight"`
}

// Headers and paths of the API.
const (
	// IfVersionHeader carries the version that a change is based on; 0 means a new object.
	IfVersionHeader = "Primrosewell-If-Version"
	basePath        = "/admin/v1"
	statusPath      = basePath + "/status"
	drainPath       = basePath + "/drain"
	objectPath      = basePath + "/objects"
)
