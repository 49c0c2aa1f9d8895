package main

import (
	_ "embed"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of objects on one page of a list.
const pageItems = 500

//go:embed names.json
var namesFile []byte

// storeNames are the names on the wire of the platform's store, read from names.json.
type storeNames struct {
	BasePath     string `json:"base_path"`
	After        string `json:"after"`
	Watch        string `json:"watch"`
	Wait         string `json:"wait"`
	Metadata     string `json:"metadata"`
	Name         string `json:"name"`
	Revision     string `json:"revision"`
	Created      string `json:"created"`
	Finalizers   string `json:"finalizers"`
	Deleting     string `json:"deleting"`
	Spec         string `json:"spec"`
	Status       string `json:"status"`
	Items        string `json:"items"`
	More         string `json:"more"`
	ListRevision string `json:"list_revision"`
	Events       string `json:"events"`
	Removed      string `json:"removed"`
	Object       string `json:"object"`
}

// storedObject is one object of the store.
type storedObject struct {
	kind, name        string
	revision, created int64
	spec              json.RawMessage
}

// storeEvent is one change of the store.
type storeEvent struct {
	storedObject
	removed bool
}

// store is a stand-in for the platform's store. It loses nothing and answers at once.
type store struct {
	names storeNames

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]storedObject
	history  []storeEvent
	changed  chan struct{}
}

func newStore() (*store, error) {
	s := &store{objects: make(map[string]map[string]storedObject), changed: make(chan struct{}), revision: 1}
	return s, json.Unmarshal(namesFile, &s.names)
}

// put writes an object as the operator or a worker does, and returns when it was acknowledged.
func (s *store) put(kind, name string, spec json.RawMessage) (acknowledged time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, spec)
	return time.Now()
}

// remove removes an object and returns when that was acknowledged.
func (s *store) remove(kind, name string) (acknowledged time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
	return time.Now()
}

// write stores a new revision of an object; s.mu is held.
func (s *store) write(kind, name string, spec json.RawMessage) storedObject {
	s.revision++
	o := storedObject{kind: kind, name: name, revision: s.revision, created: s.revision, spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	if old, exists := s.objects[kind][name]; exists {
		o.created = old.created
	}
	s.objects[kind][name] = o
	s.record(storeEvent{storedObject: o})
	return o
}

// delete removes an object, which is its last change; s.mu is held.
func (s *store) delete(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.revision = s.revision
	s.record(storeEvent{storedObject: o, removed: true})
}

func (s *store) record(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) encode(o storedObject) map[string]any {
	n := s.names
	return map[string]any{
		n.Metadata: map[string]any{n.Name: o.name, n.Revision: o.revision, n.Created: o.created, n.Finalizers: []string{}, n.Deleting: false},
		n.Spec:     o.spec, n.Status: nil,
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, known := strings.CutPrefix(r.URL.Path, s.names.BasePath)
	kind, name, hasName := strings.Cut(path, "/")
	switch {
	case !known || kind == "":
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && !hasName && r.URL.Query().Has(s.names.Watch):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && !hasName:
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveObject(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get(s.names.After) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := names[:min(pageItems, len(names))]
	items := make([]any, 0, len(page))
	for _, name := range page {
		items = append(items, s.encode(s.objects[kind][name]))
	}
	answer(w, http.StatusOK, map[string]any{s.names.Items: items, s.names.More: len(page) < len(names), s.names.ListRevision: s.revision})
}

func (s *store) serveObject(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, exists := s.objects[kind][name]; exists {
		answer(w, http.StatusOK, s.encode(o))
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

// serveWatch answers once there is a change after the given revision, or when the wait is over.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get(s.names.Watch), 10, 64)
	waitMS, waitErr := strconv.ParseInt(query.Get(s.names.Wait), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for waiting := true; ; {
		events, revision, changed := s.changesSince(kind, from)
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{s.names.Events: events, s.names.ListRevision: revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesSince(kind string, from int64) (events []any, revision int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []any{}
	for _, e := range s.history {
		if e.kind == kind && e.revision > from {
			events = append(events, map[string]any{s.names.Removed: e.removed, s.names.Object: s.encode(e.storedObject)})
		}
	}
	return events, s.revision, s.changed
}

// serveWrite creates, replaces or removes one object, on condition of its revision if one is given.
func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body map[string]json.RawMessage
	var metadata map[string]json.RawMessage
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&body) != nil || json.Unmarshal(body[s.names.Metadata], &metadata) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	condition := r.URL.Query().Get(s.names.Revision)
	if given, found := metadata[s.names.Revision]; found {
		condition = string(given)
	}
	if r.Method == http.MethodPost && json.Unmarshal(metadata[s.names.Name], &name) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	conflict := exists && condition != "" && condition != "0" && condition != strconv.FormatInt(old.revision, 10)
	switch {
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && conflict:
		answer(w, http.StatusConflict, s.encode(old))
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		answer(w, http.StatusOK, s.encode(old))
	default:
		answer(w, http.StatusOK, s.encode(s.write(kind, name, body[s.names.Spec])))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The client has left.
}
