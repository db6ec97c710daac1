package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, a line each.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

var record recorder

func (r *recorder) open(path string) {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	r.file, r.began = f, time.Now()
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
		fmt.Fprintf(r.file, format+"\n", args...)
	}
}

// cannotRun ends the case: it could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	record.line("cannot run: "+format, args...)
	stopHosts()
	os.Exit(2)
}

// verdict ends the case.
func verdict(broken bool, format string, args ...any) {
	record.line("verdict: broken=%v: "+format, append([]any{broken}, args...)...)
	fmt.Printf("broken=%v: "+format+"\n", append([]any{broken}, args...)...)
	stopHosts()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}
