package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

// Page is one part of a list.
type Page struct {
	List
	// More is set if the list goes on after the last item.
	More bool
}

// Dialect is the shape of an object API on the wire: paths and bodies, and nothing
// of the client's conduct. Its errors say only that a body could not be read; the
// client gives them their reason.
type Dialect interface {
	// ItemPath is the path of one object for reading and updating.
	ItemPath(collection, name string) string
	// CreatePath is the path to create an object at.
	CreatePath(collection, name string) string
	// DeletePath is the path that deletes an object at exactly version.
	DeletePath(collection, name string, version int64) string
	// ListPath is the path of the page that follows the name after, or of the first page.
	ListPath(collection, prefix, after string) string
	EncodeObject(o Object) ([]byte, error)
	DecodeObject(collection, name string, body []byte) (Object, error)
	DecodePage(collection, prefix string, body []byte) (Page, error)
}

// PollingDialect is a Dialect whose watch is a read that waits for changes.
type PollingDialect interface {
	Dialect
	// PollPath is the path of a read that answers with the changes after version, and
	// waits for them at most so long.
	PollPath(collection string, version int64, wait time.Duration) string
	// DecodePoll returns the changes and the version that they reach.
	DecodePoll(collection string, body []byte) ([]Event, int64, error)
}

// nativeDialect is the API that primrosewell's stand-in serves; its watch is a stream of lines.
type nativeDialect struct{}

var _ Dialect = nativeDialect{}

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

// ListPath implements Dialect; lists come whole.
func (nativeDialect) ListPath(collection, prefix, _ string) string {
	return collectionPath(collection, url.Values{wire.PrefixParam: {prefix}})
}

// EncodeObject implements Dialect.
func (nativeDialect) EncodeObject(o Object) ([]byte, error) { return json.Marshal(wire.Object(o)) }

// DecodeObject implements Dialect. A reply about another object, or one that is cut,
// is no reply.
func (nativeDialect) DecodeObject(collection, name string, body []byte) (Object, error) {
	var o wire.Object
	if err := json.Unmarshal(body, &o); err != nil {
		return Object{}, err
	}
	if o.Collection != collection || o.Name != name || o.Version <= 0 {
		return Object{}, oops.Errorf("reply is about %s/%s at version %d", o.Collection, o.Name, o.Version)
	}
	return Object(o), nil
}

// DecodePage implements Dialect.
func (nativeDialect) DecodePage(collection, prefix string, body []byte) (Page, error) {
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

// transport is the default transport of a client.
func transport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
}
