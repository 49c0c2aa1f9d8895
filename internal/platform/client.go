package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/samber/oops"
	"golang.org/x/time/rate"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

const (
	// DefaultTimeout bounds one call, from getting a connection to the end of the response.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchIdleTimeout is the longest time without a line, bookmarks included, after which a
	// watch counts as broken.
	DefaultWatchIdleTimeout = 10 * time.Second
	// maxListBytes bounds one response of a list or of a poll, on a VM with enough memory; see Responses.
	maxListBytes = 64 << 20
	// maxItemBytes bounds the response of a call that concerns one object: the largest one in base64, and
	// 64 KiB for the rest.
	maxItemBytes = MaxObjectBytes*4/3 + 64<<10
	// maxErrorBytes bounds what is read of an error response, whose status says the most.
	maxErrorBytes = 64 << 10
	// itemOverhead is what an object of a list takes beside the bytes that it came in.
	itemOverhead = 128
	// maxIdleConns is the maximum number of idle connections to the platform.
	maxIdleConns = 16
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 90 * time.Second
	// maxPageRetries bounds the retries of rate-limited pages within one list, and
	// meanPageRetryDelay is the mean delay before each: a fraction of the second over which the
	// platform counts calls.
	maxPageRetries, meanPageRetryDelay = 20, 200 * time.Millisecond
	// burstSeconds sizes the burst of a rate limit: the calls that the rate allows in this time.
	burstSeconds = 0.25
)

// ClientOptions configure a client of the platform's object API.
type ClientOptions struct {
	// BaseURL is the scheme, IP address and port, such as http://192.0.2.1:8080.
	BaseURL string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// Timeout bounds each call except a watch. Default: DefaultTimeout.
	Timeout time.Duration
	// WatchIdleTimeout ends a watch that has delivered no line for this time. Default:
	// DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
	// WritesPerSecond and ReadsPerSecond limit this client's calls; zero means no limit.
	// A call that can't be sent before its timeout fails at once with RateLimited.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Dialect is the shape of the API on the wire. Default: primrosewell's own.
	Dialect Dialect
	// PollWait is how long the platform may hold a poll while there are no changes. Default:
	// DefaultPollWait.
	PollWait time.Duration
	// Dial opens connections. Default: TCP with a limited receive buffer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Responses bounds what calls hold together while they read and decode their responses; one of a list
	// or poll may have a third of it. A read that finds no room fails with Unavailable. Default: no limit.
	Responses *memory.Quota
	// Transport sends the requests. Dial is not used then. It must not resend a request that may have been sent.
	// Default: a transport without a proxy that only this client uses.
	Transport http.RoundTripper
	// OnEra, if set, is called when a response states a higher era than the ones before it; see
	// Event.Era.
	OnEra func(previous, era int64)
	// Observe, if set, is called when a call ends; the reason is empty on success.
	Observe func(op string, reason Reason, elapsed time.Duration)
}

// Client is a Store over HTTP. It does not retry a write whose effect is uncertain and does not
// follow redirects.
type Client struct {
	options ClientOptions
	// route is the current one. A call uses the one that it starts with.
	route    atomic.Pointer[route]
	changing sync.Mutex
	writes   *rate.Limiter
	reads    *rate.Limiter
	era      eraTracker
}

var _ Store = (*Client)(nil)

// NewClient returns a client without calling the platform. The client's methods may be called
// concurrently.
func NewClient(options ClientOptions) *Client {
	options.WatchIdleTimeout = lo.CoalesceOrEmpty(options.WatchIdleTimeout, DefaultWatchIdleTimeout)
	if options.Dialect == nil {
		options.Dialect = nativeDialect{}
	}
	if options.Dial == nil {
		options.Dial = httpio.DialTCP(nil, memory.LimitOutbound)
	}
	c := &Client{options: options, writes: newLimiter(options.WritesPerSecond), reads: newLimiter(options.ReadsPerSecond)}
	access := Access{BaseURL: options.BaseURL, Token: options.Token, Timeout: options.Timeout, PollWait: options.PollWait}
	c.route.Store(c.newRoute(access.withDefaults()))
	return c
}

// newLimiter returns a limiter for a rate per second; a rate of 0 or less means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, collection, name string) (Object, error) {
	r := call{op: "get", key: collection + "/" + name, method: http.MethodGet, path: c.options.Dialect.ItemPath(collection, name)}
	response, err := c.do(ctx, r)
	if err != nil {
		return Object{}, err
	}
	defer response.release()
	return c.decodeObject(r, collection, name, response.body)
}

func (c *Client) decodeObject(r call, collection, name string, body []byte) (Object, error) {
	o, err := c.options.Dialect.DecodeObject(collection, name, body)
	if err != nil {
		return Object{}, r.newError(Uncertain, err)
	}
	return o, nil
}

// List implements Store. It reads the pages one after the other and returns the version of the
// first, so that a watch from that version misses no change. It fails if the platform's era
// changes in between. If a rate limit refuses a later page, List requests that page again,
// since starting over would cost more calls. A page that can't be read, or that the list can't be
// continued after, makes all of it an error: the rest of its objects are not known. It starts over if
// the client moves to another address.
func (c *Client) List(ctx context.Context, collection, prefix string) (List, error) {
	var list List
	held := 0 // What the pages take.
	defer func() { c.options.Responses.Release(held) }()
	after, pageRetries := "", 0
	listed := make(map[string]bool) // The names after which pages were requested.
	route := c.route.Load()
	for {
		if route.moved() {
			list, after, route = List{}, "", c.route.Load()
			clear(listed)
			c.options.Responses.Release(held)
			held = 0
		}
		r := call{op: "list", key: collection + "/" + prefix, isList: true, method: http.MethodGet, path: c.options.Dialect.ListPath(collection, prefix, after)}
		page, size, err := c.readPage(ctx, r, collection, prefix)
		held += size
		if ReasonOf(err) == RateLimited && after != "" && pageRetries < maxPageRetries {
			pageRetries++
			sleep(ctx, meanPageRetryDelay/2+rand.N(meanPageRetryDelay))
			continue
		}
		if err != nil {
			return List{}, err
		}
		if route.moved() {
			continue
		}
		if after == "" {
			list.Version, list.Era = page.Version, page.Era
		}
		if !SameEra(page.Era, list.Era) {
			return List{}, r.newError(Unavailable, oops.Errorf("the list began in era %d and continues in era %d", list.Era, page.Era))
		}
		list.Items = append(list.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return list, nil
		}
		after = lastName(page.Items)
		if after == "" || listed[after] {
			return List{}, r.newError(Unavailable, oops.Errorf("a page of the list names no object to continue after"))
		}
		listed[after] = true
	}
}

// lastName returns the last name of a page, whose items may include some without.
func lastName(items []Object) string {
	named, _, _ := lo.FindLastIndexOf(items, func(o Object) bool { return o.Name != "" })
	return named.Name
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// readPage reads a page of a list and reserves what it takes, which the caller has to release.
func (c *Client) readPage(ctx context.Context, r call, collection, prefix string) (page Page, held int, err error) {
	response, err := c.do(ctx, r)
	if err != nil {
		return Page{}, 0, err
	}
	page, err = c.decodePage(r, collection, prefix, response.body)
	response.release()
	if err != nil {
		return Page{}, 0, err
	}
	page.Era = response.era
	held = len(response.body) + itemOverhead*len(page.Items)
	if !c.options.Responses.Reserve(held) {
		return Page{}, 0, r.newError(Unavailable, oops.Wrapf(memory.ErrNoRoom, "the pages of the list"))
	}
	return page, held, nil
}

func (c *Client) decodePage(r call, collection, prefix string, body []byte) (Page, error) {
	page, err := c.options.Dialect.DecodePage(collection, prefix, body)
	if err != nil {
		return Page{}, r.newError(Unavailable, err)
	}
	return page, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	path := c.options.Dialect.CreatePath(o.Collection, o.Name)
	return c.writeObject(ctx, call{op: "create", method: http.MethodPost, path: path, conflictReason: Exists}, o)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	path := c.options.Dialect.ItemPath(o.Collection, o.Name)
	return c.writeObject(ctx, call{op: "update", method: http.MethodPut, path: path, conflictReason: Conflict}, o)
}

func (c *Client) writeObject(ctx context.Context, r call, o Object) (Object, error) {
	r.key, r.isWrite = o.Collection+"/"+o.Name, true
	body, err := c.options.Dialect.EncodeObject(o)
	if err != nil {
		return Object{}, r.newError(Invalid, err)
	}
	r.body = body
	response, err := c.do(ctx, r)
	if err != nil {
		return Object{}, err
	}
	defer response.release()
	stored, err := c.decodeObject(r, o.Collection, o.Name, response.body)
	if err != nil {
		return Object{}, err
	}
	stored.Data = o.Data
	return stored, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, collection, name string, version int64) error {
	response, err := c.do(ctx, call{
		op: "delete", key: collection + "/" + name, method: http.MethodDelete,
		path: c.options.Dialect.DeletePath(collection, name, version), isWrite: true, conflictReason: Conflict,
	})
	if err == nil {
		response.release()
	}
	return err
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	r := call{op: "vms", key: "vms", isList: true, method: http.MethodGet, path: wire.VMsPath}
	response, err := c.do(ctx, r)
	if err != nil {
		return nil, err
	}
	defer response.release()
	if err := checkElements(response.body); err != nil {
		return nil, r.newError(Unavailable, err)
	}
	var vms []VM
	if err := json.Unmarshal(response.body, &vms); err != nil {
		return nil, r.newError(Unavailable, err)
	}
	return vms, nil
}
