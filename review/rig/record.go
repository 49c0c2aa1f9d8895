package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the seconds since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// add writes one line; fields are pairs of a name and a value.
func (r *record) add(event string, fields ...any) {
	var line strings.Builder
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&line, "%9.3f %-12s", time.Since(r.started).Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&line, " %v=%v", fields[i], fields[i+1])
	}
	_, _ = fmt.Fprintln(r.file, line.String()) // The verdict doesn't depend on it.
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("note", "text", text)
	fmt.Println(text)
}
