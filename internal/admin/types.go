// Package admin holds the HTTP API for operators, which covers every operation of the
// command line, its client, and the types that they exchange.
package admin

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/distribution"
)

// Status describes one daemon and its view of the other members.
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

// MemberStatus describes one member as this daemon sees it.
type MemberStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Revision   int64  `json:"revision"`
	// InForce is true if the member has this daemon's revision or a later one.
	InForce bool `json:"in_force"`
}

// PoolStatus describes the queue of one pool, as reported by its broker.
type PoolStatus struct {
	Pool    string        `json:"pool"`
	Broker  string        `json:"broker"`
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	Classes []ClassStatus `json:"classes"`
}

// ClassStatus describes one class in a pool's queue.
type ClassStatus struct {
	Class      string        `json:"class"`
	Tier       int           `json:"tier"`
	Waiting    int           `json:"waiting"`
	Running    int           `json:"running"`
	Granted    int64         `json:"granted"`
	Refused    int64         `json:"refused"`
	OldestWait time.Duration `json:"oldest_wait_ns"`
}

// EndpointStatus describes one endpoint, as reported by the broker of its pool.
type EndpointStatus struct {
	Service    string `json:"service"`
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// State is "leaving", "reserved" (for a suspect request that runs isolated), or the
	// health, followed by ":" and the cause of an ejection if there is one.
	State   string `json:"state"`
	Limit   int    `json:"limit"`
	Running int    `json:"running"`
	// Slowdown is the ratio of the endpoint's latency to the pool's median; 2 is twice as slow.
	Slowdown float64 `json:"speed"`
}

// DigestStatus describes a request content that is suspected of crashing endpoints.
type DigestStatus struct {
	Digest    string        `json:"digest"`
	State     string        `json:"state"`
	Endpoints []string      `json:"endpoints"`
	ExpiresIn time.Duration `json:"expires_in_ns"`
}

// RecordList is the response to a list request.
type RecordList struct {
	Revision int64            `json:"revision"`
	Items    []catalog.Record `json:"items"`
}

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error struct {
		Code         string `json:"code"`
		Outcome      string `json:"outcome"`
		Message      string `json:"message"`
		RequestID    string `json:"request_id"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// ApplyResult describes an accepted change and the members that have it in force.
type ApplyResult = distribution.ApplyResult

// DrainResult is the response to a drain request.
type DrainResult struct {
	VM       string `json:"vm"`
	InFlight int    `json:"in_flight"`
}

// Headers and paths of the API.
const (
	// IfVersionHeader carries the version that a change expects; 0 means that the object
	// must not exist.
	IfVersionHeader = "Primrosewell-If-Version"
	basePath        = "/admin/v1"
	statusPath      = basePath + "/status"
	drainPath       = basePath + "/drain"
	objectsPath     = basePath + "/objects"
)
