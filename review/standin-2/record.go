package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  []run
	bad   []badAnswer
}

// badAnswer is a failure that a target answered.
type badAnswer struct {
	target string
	at     time.Time
}

func (r *record) addBad(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad = append(r.bad, badAnswer{target, time.Now()})
}

// nthBad returns when targets gave their nth bad answer, zero if they gave fewer.
func (r *record) nthBad(n int, of func(target string) bool) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.bad {
		if of(b.target) {
			if n--; n == 0 {
				return b.at
			}
		}
	}
	return time.Time{}
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// printf writes a line with the seconds since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *record) addRun(entry run) {
	r.printf("%s begins to run %s %s (caller service %q)", entry.Target, entry.ID, entry.Path, entry.Caller)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, entry)
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []run
	for _, entry := range r.runs {
		if entry.ID == id {
			runs = append(runs, entry)
		}
	}
	return runs
}

// runsAt returns the runs at a target.
func (r *record) runsAt(target string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []run
	for _, entry := range r.runs {
		if entry.Target == target {
			runs = append(runs, entry)
		}
	}
	return runs
}
