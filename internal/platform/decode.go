package platform

import (
	"encoding/json"
	"strings"

	"github.com/samber/lo"
	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

// decodeObject reads the reply to a call on one object. A reply about another
// object, or one that is cut, is no reply.
func decodeObject(r call, collection, name string, body []byte) (Object, error) {
	var o wire.Object
	if err := json.Unmarshal(body, &o); err != nil {
		return Object{}, r.fail(Uncertain, err)
	}
	if o.Collection != collection || o.Name != name || o.Version <= 0 {
		return Object{}, r.fail(Uncertain, oops.Errorf("reply is about %s/%s at version %d", o.Collection, o.Name, o.Version))
	}
	return Object(o), nil
}

// decodeList reads the reply to a list.
func decodeList(r call, collection, prefix string, body []byte) (List, error) {
	var l wire.List
	if err := json.Unmarshal(body, &l); err != nil {
		return List{}, r.fail(Unavailable, err)
	}
	for _, o := range l.Items {
		if o.Collection != collection || !strings.HasPrefix(o.Name, prefix) || o.Version <= 0 || o.Version > l.Version {
			return List{}, r.fail(Unavailable, oops.Errorf("list at version %d holds %s/%s at version %d", l.Version, o.Collection, o.Name, o.Version))
		}
	}
	return List{Version: l.Version, Items: lo.Map(l.Items, func(o wire.Object, _ int) Object { return Object(o) })}, nil
}

// decodeLine reads one line of a watch. It returns a nil event for a bookmark.
func decodeLine(r call, collection string, text []byte) (*Event, error) {
	var line wire.Line
	if err := json.Unmarshal(text, &line); err != nil {
		return nil, r.fail(WatchEnded, err)
	}
	switch line.Type {
	case wire.LineBookmark:
		return nil, nil
	case wire.LineError:
		if line.Error != nil && Reason(line.Error.Reason) == TooOld {
			return nil, r.fail(TooOld, nil)
		}
		return nil, r.fail(WatchEnded, oops.Errorf("the platform ended the watch"))
	case wire.LinePut, wire.LineDeleted:
		return decodeEvent(r, collection, line)
	default:
		return nil, r.fail(WatchEnded, oops.Errorf("line of unknown type %q", line.Type))
	}
}

func decodeEvent(r call, collection string, line wire.Line) (*Event, error) {
	o := line.Object
	if o == nil || o.Collection != collection || o.Name == "" || o.Version <= 0 {
		return nil, r.fail(WatchEnded, oops.Errorf("line without an object of %s", collection))
	}
	e := &Event{Type: EventType(line.Type), Object: Object(*o)}
	if e.Type == Deleted {
		e.Object.Data = nil
	}
	return e, nil
}
