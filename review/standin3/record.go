package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, a line each, with the time since the start.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

// note adds a line to the record.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
