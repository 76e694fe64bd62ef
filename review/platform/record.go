package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run, with the seconds since
// the start of the case.
type record struct {
	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	start time.Time
	// quiet leaves out the lines of single requests; the case writes sums instead.
	quiet bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// line writes a line that happened at t.
func (r *record) line(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", t.Sub(r.start).Seconds())
	fmt.Fprintf(r.w, format, args...)
	fmt.Fprintln(r.w)
}

// request writes a line on a single request.
func (r *record) request(t time.Time, format string, args ...any) {
	if !r.quiet {
		r.line(t, format, args...)
	}
}

// note writes a line that happened now, to the file and to standard output.
func (r *record) note(format string, args ...any) {
	now := time.Now()
	r.line(now, format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{now.Sub(r.start).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
