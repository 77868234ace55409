package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes what happened to record.txt: seconds since the start, kind and details.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// event writes one line.
func (r *recorder) event(kind string, details ...any) {
	r.eventAt(time.Now(), kind, details...)
}

func (r *recorder) eventAt(at time.Time, kind string, details ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintln(details...)
	fmt.Fprintf(r.out, "%8.3f %-10s %s\n", at.Sub(r.began).Seconds(), kind, strings.TrimSpace(line))
}

// close writes the rest and closes the file.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
