package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosewell/primrosewell/internal/headers"
)

// workerHeaderTimeout limits the time to read a request header.
const workerHeaderTimeout = 5 * time.Second

//go:embed entry.json
var entryFile string

// run is one run of a request at a worker.
type run struct {
	id, path, worker string
	at               time.Time
	crashed          bool
}

// worker is a sound server of one service: it runs each request that is addressed to it once.
type worker struct {
	address string
	names   headers.Names
	record  *record
	// crashes, if set, reports whether a request of this path crashes the worker, and onBack is
	// called when it is back, with the id that it had before.
	crashes func(path string) bool
	onBack  func(former string)
	// crashAfter is the time from the begin of such a run to the crash.
	crashAfter time.Duration
	running    atomic.Int64

	mu sync.Mutex
	// id is that of the present incarnation, and born when it started.
	id     string
	born   time.Time
	starts int
	server *http.Server
	runs   []run
	// crashed are the times of the crashes.
	crashed []time.Time
	// down is set from a crash until the worker is back.
	down bool
}

func startWorker(id, ip string, names headers.Names, rec *record) (*worker, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, address: listener.Addr().String(), names: names, record: rec, born: time.Now(), crashAfter: crashDelay}
	w.serve(listener)
	return w, nil
}

func (w *worker) serve(listener net.Listener) {
	server := &http.Server{Handler: w, ReadHeaderTimeout: workerHeaderTimeout}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			w.record.add("trouble", "worker", w.name(), "error", err)
		}
	}()
}

// name returns the id of the present incarnation.
func (w *worker) name() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// end closes all connections and the port.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.server.Close() // Its requests end with their connections.
}

// crash closes all connections and the port, as those of a process that has ended. The worker is
// back after crashedFor, at its address and with a new id.
func (w *worker) crash() {
	w.mu.Lock()
	down := w.down
	w.down = true
	if !down {
		w.crashed = append(w.crashed, time.Now())
	}
	w.mu.Unlock()
	if down {
		return
	}
	w.record.add("crash", "worker", w.name())
	w.end()
	time.AfterFunc(crashedFor, func() {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", w.address)
		if err != nil {
			w.record.add("trouble", "worker", w.name(), "error", err)
			return
		}
		w.mu.Lock()
		former := w.id
		first, _, _ := strings.Cut(former, ".")
		w.starts++
		w.down = false
		w.id, w.born = fmt.Sprintf("%s.%d", first, w.starts), time.Now()
		w.mu.Unlock()
		w.record.add("back", "worker", w.name())
		w.serve(listener)
		w.onBack(former)
	})
}

// Values of the state in a registration.
const ready, draining = "ready", "draining"

// entry returns the registration of the worker.
func (w *worker) entry(state string) json.RawMessage {
	w.mu.Lock()
	defer w.mu.Unlock()
	born := strconv.FormatInt(w.born.UnixMilli(), 10)
	return json.RawMessage(strings.NewReplacer("ADDRESS", w.address, "BORN", born, "STATE", state).Replace(entryFile))
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(w.names.RequestID)
	if id != "" {
		rw.Header().Set(w.names.RequestID, id)
	}
	if r.URL.Path == "/health" {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // The length is checked by the server.
	if target := r.Header.Get(w.names.Endpoint); target != "" && target != w.name() {
		rw.Header().Set(w.names.NotRun, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.run(rw, r, id)
}

func (w *worker) run(rw http.ResponseWriter, r *http.Request, id string) {
	crashes := w.crashes != nil && w.crashes(r.URL.Path)
	name := w.name()
	w.mu.Lock()
	w.runs = append(w.runs, run{id: id, path: r.URL.Path, worker: name, at: time.Now(), crashed: crashes})
	w.mu.Unlock()
	w.record.add("run", "id", id, "worker", name, "path", r.URL.Path)
	if crashes {
		select {
		case <-time.After(w.crashAfter):
			w.crash()
		case <-r.Context().Done():
			w.record.add("run_cut", "id", id, "worker", name)
		}
		return
	}
	running := w.running.Add(1)
	defer w.running.Add(-1)
	select {
	case <-time.After(workOf(r.URL.Path)):
	case <-r.Context().Done():
		w.record.add("run_cut", "id", id, "worker", name)
		return
	}
	body := fmt.Sprintf("%s ran %s\n", name, id)
	rw.Header().Set(w.names.Load, fmt.Sprintf("%d,0,64", running))
	rw.Header().Set(w.names.ResponseSignature, "seal-of-"+name)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body) // The caller has left.
}

// crashTimes returns the times of the crashes.
func (w *worker) crashTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.crashed)
}

// runsOf returns the runs of the requests whose path begins with prefix.
func (w *worker) runsOf(prefix string) (runs []run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.runs {
		if strings.HasPrefix(x.path, prefix) {
			runs = append(runs, x)
		}
	}
	return runs
}
