package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
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
	// pageRefusals bounds the refusals of one list, and refusedPause is the mean pause after
	// one: a fraction of the second that rates are counted in.
	pageRefusals, refusedPause = 20, 200 * time.Millisecond
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
	// Dialect is the shape of the API. Default: primrosewell's own.
	Dialect Dialect
	// PollWait is how long a polling watch waits for changes. Default: DefaultPollWait.
	PollWait time.Duration
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
	options.PollWait = lo.CoalesceOrEmpty(options.PollWait, DefaultPollWait)
	if options.Transport == nil {
		options.Transport = transport()
	}
	if options.Dialect == nil {
		options.Dialect = nativeDialect{}
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
	r := call{op: "get", key: collection + "/" + name, method: http.MethodGet, path: c.options.Dialect.ItemPath(collection, name)}
	body, err := c.do(ctx, r)
	if err != nil {
		return Object{}, err
	}
	return c.decodeObject(r, collection, name, body)
}

func (c *Client) decodeObject(r call, collection, name string, body []byte) (Object, error) {
	o, err := c.options.Dialect.DecodeObject(collection, name, body)
	if err != nil {
		return Object{}, r.fail(Uncertain, err)
	}
	return o, nil
}

// List implements Store. Pages are read one after the other; the list is as of the
// first page's version, so that a watch from there misses nothing. A later page that a
// rate limit refuses is asked for again: to begin anew would only ask for more.
func (c *Client) List(ctx context.Context, collection, prefix string) (List, error) {
	var list List
	after, refusals := "", 0
	for {
		r := call{op: "list", key: collection + "/" + prefix, method: http.MethodGet, path: c.options.Dialect.ListPath(collection, prefix, after)}
		body, err := c.do(ctx, r)
		if ReasonOf(err) == RateLimited && after != "" && refusals < pageRefusals {
			refusals++
			pause(ctx, refusedPause/2+rand.N(refusedPause))
			continue
		}
		if err != nil {
			return List{}, err
		}
		page, err := c.decodePage(r, collection, prefix, body)
		if err != nil {
			return List{}, err
		}
		if after == "" {
			list.Version = page.Version
		}
		list.Items = append(list.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return list, nil
		}
		after = page.Items[len(page.Items)-1].Name
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (c *Client) decodePage(r call, collection, prefix string, body []byte) (Page, error) {
	page, err := c.options.Dialect.DecodePage(collection, prefix, body)
	if err != nil {
		return Page{}, r.fail(Unavailable, err)
	}
	return page, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	path := c.options.Dialect.CreatePath(o.Collection, o.Name)
	return c.put(ctx, call{op: "create", method: http.MethodPost, path: path, conflict: Exists}, o)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	path := c.options.Dialect.ItemPath(o.Collection, o.Name)
	return c.put(ctx, call{op: "update", method: http.MethodPut, path: path, conflict: Conflict}, o)
}

func (c *Client) put(ctx context.Context, r call, o Object) (Object, error) {
	r.key, r.write = o.Collection+"/"+o.Name, true
	body, err := c.options.Dialect.EncodeObject(o)
	if err != nil {
		return Object{}, r.fail(Invalid, err)
	}
	r.body = body
	reply, err := c.do(ctx, r)
	if err != nil {
		return Object{}, err
	}
	stored, err := c.decodeObject(r, o.Collection, o.Name, reply)
	if err != nil {
		return Object{}, err
	}
	stored.Data = o.Data
	return stored, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, collection, name string, version int64) error {
	_, err := c.do(ctx, call{
		op: "delete", key: collection + "/" + name, method: http.MethodDelete,
		path: c.options.Dialect.DeletePath(collection, name, version), write: true, conflict: Conflict,
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
