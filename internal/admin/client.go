package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// callTimeout includes the time for a change to come into force on every daemon.
const callTimeout = 20 * time.Second

// maxResponseBytes bounds a response. The largest one lists all objects of a kind.
const maxResponseBytes = 64 << 20

// Client calls the admin API of a daemon. It may be used concurrently.
type Client struct {
	baseURL    string
	token      string
	httpClient *http.Client
}

// NewClient returns a client of the daemon at baseURL, such as http://192.0.2.1:8081.
func NewClient(baseURL, token string) *Client {
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), token: token, httpClient: &http.Client{Timeout: callTimeout, Transport: newTransport()}}
}

// newTransport returns the default transport of net/http with checked and bounded heads.
func newTransport() http.RoundTripper {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		base = &http.Transport{DialContext: (&net.Dialer{}).DialContext}
	}
	return httpio.NewTransport(base.Clone(), httpio.MaxHeadBytes)
}

// Status returns the daemon's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.call(ctx, http.MethodGet, statusPath, nil, nil, &out)
}

// Drain starts a graceful shutdown of the daemon.
func (c *Client) Drain(ctx context.Context) (DrainResult, error) {
	var out DrainResult
	return out, c.call(ctx, http.MethodPost, drainPath, nil, nil, &out)
}

// List returns the objects of a kind.
func (c *Client) List(ctx context.Context, kind catalog.Kind) (RecordList, error) {
	var out RecordList
	return out, c.call(ctx, http.MethodGet, objectsPath+"/"+string(kind), nil, nil, &out)
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind catalog.Kind, name string) (catalog.Record, error) {
	var out catalog.Record
	return out, c.call(ctx, http.MethodGet, objectURLPath(kind, name), nil, nil, &out)
}

// Apply creates or replaces an object. A nil version applies to any stored version.
func (c *Client) Apply(ctx context.Context, kind catalog.Kind, name string, spec []byte, version *int64) (ApplyResult, error) {
	var out ApplyResult
	return out, c.call(ctx, http.MethodPut, objectURLPath(kind, name), spec, version, &out)
}

// Delete removes an object. A nil version applies to any stored version.
func (c *Client) Delete(ctx context.Context, kind catalog.Kind, name string, version *int64) (ApplyResult, error) {
	var out ApplyResult
	return out, c.call(ctx, http.MethodDelete, objectURLPath(kind, name), nil, version, &out)
}

func objectURLPath(kind catalog.Kind, name string) string {
	return objectsPath + "/" + string(kind) + "/" + url.PathEscape(name)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, version *int64, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return failure.Wrap(err, failure.InvalidRequest, "address of the admin API")
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if version != nil {
		request.Header.Set(IfVersionHeader, strconv.FormatInt(*version, 10))
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return unreachableError(err, method)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readResponse(response.Body)
	if err != nil {
		return unreachableError(err, method)
	}
	if response.StatusCode != http.StatusOK {
		return decodeFailure(data, response.StatusCode)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return failure.Wrap(err, failure.Internal, "the daemon's answer could not be read")
	}
	return nil
}

// readResponse reads a body of at most maxResponseBytes.
func readResponse(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = oops.Errorf("the response exceeds %d bytes", maxResponseBytes)
	}
	return data, err
}

// unreachableError returns the failure of a call without a response. A change then has an
// unknown outcome, since the daemon may have applied it.
func unreachableError(err error, method string) *failure.Failure {
	f := failure.Wrap(err, failure.Unreachable, "the daemon's admin API could not be reached")
	if method == http.MethodGet {
		return f
	}
	return f.WithOutcome(failure.Unknown)
}

// decodeFailure returns the failure that an error response carries.
func decodeFailure(data []byte, status int) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return failure.New(failure.Internal, "the daemon answered with status "+strconv.Itoa(status))
	}
	return failure.New(failure.Code(body.Error.Code), body.Error.Message).
		WithOutcome(failure.Outcome(body.Error.Outcome)).
		WithRetryAfter(time.Duration(body.Error.RetryAfterMS) * time.Millisecond)
}
