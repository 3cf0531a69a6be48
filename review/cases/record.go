package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// note writes one line with the time since the start, to the file and to standard output.
func (r *record) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *record) close() { _ = r.file.Close() }
