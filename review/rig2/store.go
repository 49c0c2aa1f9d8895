package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatchWait is the longest time for which the store holds a watch.
const maxWatchWait = 30 * time.Second

// object is one object of the store.
type object struct {
	kind, name        string
	revision, created int64
	spec              json.RawMessage
}

func (o object) encode() string {
	return fmt.Sprintf(wire["object"], o.name, o.revision, o.created, o.spec)
}

// event is one change in the store's history.
type event struct {
	object  object
	removed bool
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]object
	history  []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]object{}, changed: make(chan struct{})}
}

// put writes an object whatever its revision.
func (s *store) put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, spec)
}

// write is put with the lock held. A write that changes nothing is no change.
func (s *store) write(kind, name string, spec []byte) object {
	key := kind + "/" + name
	old, exists := s.objects[key]
	if exists && string(old.spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{kind: kind, name: name, revision: s.revision, created: s.revision, spec: slices.Clone(spec)}
	if exists {
		o.created = old.created
	}
	s.objects[key] = o
	s.append(event{object: o})
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, exists := s.objects[kind+"/"+name]; exists {
		s.revision++
		o.revision = s.revision
		delete(s.objects, kind+"/"+name)
		s.append(event{object: o, removed: true})
	}
}

func (s *store) append(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, wire["objects"]), "/")
	switch {
	case r.Method == http.MethodGet && !named && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []string{}
	for _, o := range s.objects {
		if o.kind == kind {
			items = append(items, o.encode())
		}
	}
	slices.Sort(items)
	fmt.Fprintf(w, wire["list"], "["+strings.Join(items, ",")+"]", s.revision)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind+"/"+name]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	fmt.Fprint(w, o.encode())
}

// change serves the calls that write. A revision that isn't the object's is a conflict.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var sent struct {
		Metadata struct {
			Name     string
			Revision int64
		}
		Spec json.RawMessage
	}
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	if revision, err := strconv.ParseInt(r.URL.Query().Get("Revision"), 10, 64); err == nil {
		sent.Metadata.Revision = revision
	}
	s.mu.Lock()
	old, exists := s.objects[kind+"/"+name]
	conflict := exists && (r.Method == http.MethodPost || sent.Metadata.Revision != 0 && sent.Metadata.Revision != old.revision)
	switch {
	case conflict:
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, old.encode())
	case !exists && r.Method != http.MethodPost:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.mu.Unlock()
		s.remove(kind, name)
		fmt.Fprint(w, old.encode())
	default:
		stored := s.write(kind, name, sent.Spec)
		s.mu.Unlock()
		fmt.Fprint(w, stored.encode())
	}
}

// watch answers as soon as there is a change of the kind behind a revision, or after the wait.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(min(maxWatchWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		var events []string
		for _, e := range s.history {
			if e.object.kind == kind && e.object.revision > after {
				events = append(events, fmt.Sprintf(wire["change"], e.removed, e.object.encode()))
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || over {
			fmt.Fprintf(w, wire["changes"], "["+strings.Join(events, ",")+"]", revision)
			return
		}
	}
}
