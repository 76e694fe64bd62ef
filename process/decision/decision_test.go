package decision

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

func newLogger(w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
}

// TestWrite guards against a line without its values and against a log volume that
// grows with the load.
func TestWrite(t *testing.T) {
	var out bytes.Buffer
	l := New(newLogger(&out))
	const lines = 10 * maxLinesPerSecond
	for i := range lines {
		l.Write("request refused", "id", fmt.Sprint(i))
	}
	l.Close()
	l.Write("after the end")
	var first map[string]any
	n := 0
	for dec := json.NewDecoder(&out); dec.More(); n++ {
		var m map[string]any
		if err := dec.Decode(&m); err != nil {
			t.Fatal(err)
		}
		if first == nil && m["id"] != nil {
			first = m
		}
	}
	if first["@message"] != "request refused" || first["id"] != "0" {
		t.Errorf("got %v", first)
	}
	if n == 0 || n > 2*maxLinesPerSecond {
		t.Errorf("got %d lines of %d, want at most %d", n, lines, 2*maxLinesPerSecond)
	}
}

// blockedWriter blocks all writes until it is released.
type blockedWriter struct {
	release chan struct{}
	once    sync.Once
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestNeverBlocks guards against requests that wait for a slow log writer.
func TestNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	l := New(newLogger(w))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueued {
			l.Write("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("Write blocks on the writer")
	}
	if l.dropped.Load() == 0 {
		t.Error("got no dropped lines, want some")
	}
	w.once.Do(func() { close(w.release) })
	l.Close()
}

// TestKeeps guards against daemons that sample different requests, and against
// dropping failed or unusual requests.
func TestKeeps(t *testing.T) {
	a, b := New(newLogger(io.Discard)), New(newLogger(io.Discard))
	defer a.Close()
	defer b.Close()
	kept := 0
	for i := range 64 * sampleEvery {
		id := fmt.Sprint(i)
		if a.Keeps(id, false) != b.Keeps(id, false) || !a.Keeps(id, true) {
			t.Fatalf("request %s: the two logs differ, or it is not always kept", id)
		}
		if a.Keeps(id, false) {
			kept++
		}
	}
	if kept < 32 || kept > 128 {
		t.Errorf("kept %d of %d requests, want 32 to 128", kept, 64*sampleEvery)
	}
	var none *Log
	if none.Keeps("x", true) {
		t.Error("a nil Log keeps lines")
	}
}

// TestWriteReserved guards against losing the line of a request of unknown outcome
// among the lines of refusals.
func TestWriteReserved(t *testing.T) {
	var out bytes.Buffer
	l := New(newLogger(&out))
	for range 2 * maxLinesPerSecond {
		l.Write("refused")
	}
	l.WriteReserved("unknown", "id", "x")
	l.Close()
	if !bytes.Contains(out.Bytes(), []byte(`"unknown"`)) {
		t.Error("the line about the unknown outcome is lost")
	}
}
