package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

const (
	// DefaultTimeout bounds one call, from asking for a connection to the end of the reply.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchIdle is how long a watch may be silent, bookmarks included, before it counts as cut.
	DefaultWatchIdle = 10 * time.Second
	// maxReplyBytes bounds a reply held in memory.
	maxReplyBytes = 64 << 20
	// maxIdleConns is the number of idle connections kept to the platform.
	maxIdleConns = 16
	// idleConnTimeout closes connections that are not used.
	idleConnTimeout = 90 * time.Second
	// rateBurst is how much of a second's rate may be used at once.
	rateBurst = 0.25
)

// ClientOptions configure a client of the platform's object API.
type ClientOptions struct {
	// BaseURL is the scheme, IP number and port, such as http://192.0.2.1:8080.
	BaseURL string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// Timeout bounds each call but a watch. Default: DefaultTimeout.
	Timeout time.Duration
	// WatchIdle ends a watch that has been silent for so long. Default: DefaultWatchIdle.
	WatchIdle time.Duration
	// WritesPerSecond and ReadsPerSecond limit this client's calls; zero means no limit.
	// A call that can't be sent before its timeout fails at once with RateLimited.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Transport sends the requests. It must not repeat a request that it may have sent.
	// Default: a transport of the client's own without a proxy.
	Transport http.RoundTripper
	// Observe, if set, is told of each call's end; the reason is empty on success.
	Observe func(op string, reason Reason, elapsed time.Duration)
}

// Client is a Store over HTTP. It never repeats a write whose effect is uncertain
// and follows no redirects.
type Client struct {
	options ClientOptions
	http    *http.Client
	writes  *rate.Limiter
	reads   *rate.Limiter
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It makes no call; all methods may be called concurrently.
func NewClient(options ClientOptions) *Client {
	options.BaseURL = strings.TrimSuffix(options.BaseURL, "/")
	options.Timeout = lo.CoalesceOrEmpty(options.Timeout, DefaultTimeout)
	options.WatchIdle = lo.CoalesceOrEmpty(options.WatchIdle, DefaultWatchIdle)
	if options.Transport == nil {
		options.Transport = &http.Transport{
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
		}
	}
	return &Client{
		options: options,
		http: &http.Client{
			Transport:     options.Transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		writes: newLimiter(options.WritesPerSecond),
		reads:  newLimiter(options.ReadsPerSecond),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*rateBurst)))
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, collection, name string) (Object, error) {
	r := call{op: "get", key: collection + "/" + name, method: http.MethodGet, path: itemPath(collection, name)}
	body, err := c.do(ctx, r)
	if err != nil {
		return Object{}, err
	}
	return decodeObject(r, collection, name, body)
}

// List implements Store.
func (c *Client) List(ctx context.Context, collection, prefix string) (List, error) {
	query := url.Values{wire.PrefixParam: {prefix}}
	r := call{op: "list", key: collection + "/" + prefix, method: http.MethodGet, path: collectionPath(collection, query)}
	body, err := c.do(ctx, r)
	if err != nil {
		return List{}, err
	}
	return decodeList(r, collection, prefix, body)
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	return c.put(ctx, call{op: "create", method: http.MethodPost, conflict: Exists}, o)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	return c.put(ctx, call{op: "update", method: http.MethodPut, conflict: Conflict}, o)
}

func (c *Client) put(ctx context.Context, r call, o Object) (Object, error) {
	r.key, r.path, r.write = o.Collection+"/"+o.Name, itemPath(o.Collection, o.Name), true
	body, err := json.Marshal(wire.Object(o))
	if err != nil {
		return Object{}, r.fail(Invalid, err)
	}
	r.body = body
	reply, err := c.do(ctx, r)
	if err != nil {
		return Object{}, err
	}
	stored, err := decodeObject(r, o.Collection, o.Name, reply)
	if err != nil {
		return Object{}, err
	}
	stored.Data = o.Data
	return stored, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, collection, name string, version int64) error {
	query := url.Values{wire.VersionParam: {strconv.FormatInt(version, 10)}}
	_, err := c.do(ctx, call{
		op: "delete", key: collection + "/" + name, method: http.MethodDelete,
		path: itemPath(collection, name) + "?" + query.Encode(), write: true, conflict: Conflict,
	})
	return err
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	r := call{op: "vms", key: "vms", method: http.MethodGet, path: wire.VMsPath}
	body, err := c.do(ctx, r)
	if err != nil {
		return nil, err
	}
	var vms []VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, r.fail(Unavailable, err)
	}
	return vms, nil
}

func itemPath(collection, name string) string {
	return wire.BasePath + "/" + url.PathEscape(collection) + "/" + url.PathEscape(name)
}

func collectionPath(collection string, query url.Values) string {
	return wire.BasePath + "/" + url.PathEscape(collection) + "?" + query.Encode()
}
