package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

// Page is the part of a list that one response holds.
type Page struct {
	List
	// More is set if the list continues after the last item.
	More bool
}

// Dialect defines the paths and bodies of an object API. Timeouts, retries and rate limits are the
// client's. A Dialect returns plain errors for bodies that it can't decode; the client assigns
// their reason.
type Dialect interface {
	// ItemPath returns the path to read or update one object.
	ItemPath(collection, name string) string
	// CreatePath returns the path to create an object.
	CreatePath(collection, name string) string
	// DeletePath returns the path to delete an object at exactly version.
	DeletePath(collection, name string, version int64) string
	// ListPath returns the path of the page that follows the name after, or of the first page if
	// after is empty.
	ListPath(collection, prefix, after string) string
	EncodeObject(o Object) ([]byte, error)
	DecodeObject(collection, name string, body []byte) (Object, error)
	DecodePage(collection, prefix string, body []byte) (Page, error)
}

// PollingDialect is a Dialect whose API is watched by long polling instead of a stream.
type PollingDialect interface {
	Dialect
	// PollPath returns the path of a read of the changes after version, which the platform holds
	// for at most wait while there are none.
	PollPath(collection string, version int64, wait time.Duration) string
	// DecodePoll returns the changes and the version to continue from.
	DecodePoll(collection string, body []byte) ([]Event, int64, error)
}

// EraDialect is a Dialect whose API states the platform's era; see Event.Era.
type EraDialect interface {
	Dialect
	// EraHeader returns the header field of each response that holds the era.
	EraHeader() string
}

// nativeDialect is primrosewell's own API, which the stand-in serves. Its watch is a stream of JSON
// lines.
type nativeDialect struct{}

var _ EraDialect = nativeDialect{}

// EraHeader implements EraDialect.
func (nativeDialect) EraHeader() string { return wire.EraHeader }

// ItemPath implements Dialect.
func (nativeDialect) ItemPath(collection, name string) string {
	return wire.BasePath + "/" + url.PathEscape(collection) + "/" + url.PathEscape(name)
}

// CreatePath implements Dialect.
func (d nativeDialect) CreatePath(collection, name string) string {
	return d.ItemPath(collection, name)
}

// DeletePath implements Dialect.
func (d nativeDialect) DeletePath(collection, name string, version int64) string {
	query := url.Values{wire.VersionParam: {strconv.FormatInt(version, 10)}}
	return d.ItemPath(collection, name) + "?" + query.Encode()
}

// ListPath implements Dialect. Lists are not paged.
func (nativeDialect) ListPath(collection, prefix, _ string) string {
	return collectionPath(collection, url.Values{wire.PrefixParam: {prefix}})
}

// EncodeObject implements Dialect.
func (nativeDialect) EncodeObject(o Object) ([]byte, error) { return json.Marshal(wire.Object(o)) }

// DecodeObject implements Dialect. A truncated response, or one that holds another object, is an
// error.
func (nativeDialect) DecodeObject(collection, name string, body []byte) (Object, error) {
	var o wire.Object
	if err := json.Unmarshal(body, &o); err != nil {
		return Object{}, err
	}
	if o.Collection != collection || o.Name != name || o.Version <= 0 {
		return Object{}, oops.Errorf("response holds object %s/%s at version %d", o.Collection, o.Name, o.Version)
	}
	return Object(o), nil
}

// DecodePage implements Dialect.
func (nativeDialect) DecodePage(collection, prefix string, body []byte) (Page, error) {
	if err := checkElements(body); err != nil {
		return Page{}, err
	}
	var l wire.List
	if err := json.Unmarshal(body, &l); err != nil {
		return Page{}, err
	}
	for _, o := range l.Items {
		if o.Collection != collection || !strings.HasPrefix(o.Name, prefix) || o.Version <= 0 || o.Version > l.Version {
			return Page{}, oops.Errorf("list at version %d holds %s/%s at version %d", l.Version, o.Collection, o.Name, o.Version)
		}
	}
	items := lo.Map(l.Items, func(o wire.Object, _ int) Object { return Object(o) })
	return Page{List: List{Version: l.Version, Items: items}}, nil
}

func collectionPath(collection string, query url.Values) string {
	return wire.BasePath + "/" + url.PathEscape(collection) + "?" + query.Encode()
}

// newTransport returns the default transport of a client, which has no proxy.
func newTransport(dial func(ctx context.Context, address string) (net.Conn, error)) http.RoundTripper {
	return httpio.NewTransport(&http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}, httpio.MaxHeadBytes)
}
