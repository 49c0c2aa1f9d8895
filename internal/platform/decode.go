package platform

import (
	"encoding/json"

	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/platform/wire"
)

// decodeLine decodes one line of a watch stream. It returns a nil event for a bookmark.
func decodeLine(r call, collection string, text []byte) (*Event, error) {
	var line wire.Line
	if err := json.Unmarshal(text, &line); err != nil {
		return nil, r.newError(WatchEnded, err)
	}
	switch line.Type {
	case wire.LineBookmark:
		return nil, nil
	case wire.LineError:
		if line.Error != nil && Reason(line.Error.Reason) == TooOld {
			return nil, r.newError(TooOld, nil)
		}
		return nil, r.newError(WatchEnded, oops.Errorf("the platform ended the watch"))
	case wire.LinePut, wire.LineDeleted:
		return decodeEvent(r, collection, line)
	default:
		return nil, r.newError(WatchEnded, oops.Errorf("watch line has unknown type %q", line.Type))
	}
}

func decodeEvent(r call, collection string, line wire.Line) (*Event, error) {
	o := line.Object
	if o == nil || o.Collection != collection || o.Name == "" || o.Version <= 0 {
		return nil, r.newError(WatchEnded, oops.Errorf("watch line holds no valid object of collection %s", collection))
	}
	e := &Event{Type: EventType(line.Type), Object: Object(*o)}
	if e.Type == Deleted {
		e.Object.Data = nil
	}
	return e, nil
}
