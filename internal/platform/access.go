package platform

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Access is how a client reaches the platform. It can be changed while the client is in use; see
// Client.SetAccess.
type Access struct {
	// BaseURL, Token, Timeout and PollWait are as in ClientOptions.
	BaseURL, Token    string
	Timeout, PollWait time.Duration
}

// route is an Access with the connections to its address.
type route struct {
	Access
	http *http.Client
	// left ends when the client moves to another address.
	left  context.Context
	leave context.CancelFunc
}

func (a Access) withDefaults() Access {
	a.BaseURL = strings.TrimSuffix(a.BaseURL, "/")
	a.Timeout = lo.CoalesceOrEmpty(a.Timeout, DefaultTimeout)
	a.PollWait = lo.CoalesceOrEmpty(a.PollWait, DefaultPollWait)
	return a
}

// newRoute returns a route with connections of its own, unless the client's transport is given.
func (c *Client) newRoute(a Access) *route {
	transport := c.options.Transport
	if transport == nil {
		transport = newTransport(c.options.Dial)
	}
	r := &route{Access: a, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	r.left, r.leave = context.WithCancel(context.Background())
	return r
}

// moved reports whether the client has moved to another address since.
func (r *route) moved() bool { return r.left.Err() != nil }

// endSilent returns a function that ends a watch whose connection is silent, and closes the idle
// connections, which may be silent too.
func (r *route) endSilent(cancel context.CancelFunc) func() {
	return func() {
		cancel()
		r.http.CloseIdleConnections()
	}
}

// readContext returns a context for a read, which ends when the client moves to another address.
func (r *route) readContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.left, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// SetAccess changes how the client reaches the platform from now on. If the address changes, reads
// in progress start again at the new one, watches end, and writes in progress are completed at the old
// one, as they may have taken effect; its idle connections are closed. The highest era seen is kept: a
// platform of an earlier one is refused at the new address, too.
func (c *Client) SetAccess(a Access) {
	c.changing.Lock()
	defer c.changing.Unlock()
	a = a.withDefaults()
	old := c.route.Load()
	switch {
	case a == old.Access:
	case a.BaseURL == old.BaseURL:
		next := *old
		next.Access = a
		c.route.Store(&next)
	default:
		c.route.Store(c.newRoute(a))
		old.leave()
		old.http.CloseIdleConnections()
	}
}

// Era returns the highest era that a response has stated so far, or 0 if none has. As a response of an
// earlier era is an error, it is that of a call if it is the same before and after.
func (c *Client) Era() int64 { return c.era.latest.Load() }
