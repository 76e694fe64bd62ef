// Package trace reads and writes recorded traces for tests, which are JSON lines with
// names in camel case. It also reads the expectations in the comments of TOML test cases.
//
// # Usage
//
//	if *update {
//		trace.Write(t, "testdata/calls.jsonl", generate())
//	}
//	lines := trace.Read[line](t, "testdata/calls.jsonl")
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// maxLine bounds a line of a trace, in bytes.
const maxLine = 1 << 20

// Read returns the lines of a trace; an error ends the test.
func Read[T any](tb testing.TB, path string) (lines []T) {
	tb.Helper()
	f, err := os.Open(path) //nolint:gosec // the test names the file
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		var l T
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			tb.Fatalf("%s: line %d: %v", path, len(lines)+1, err)
		}
		lines = append(lines, l)
	}
	if err := sc.Err(); err != nil {
		tb.Fatal(err)
	}
	return lines
}

// Comments returns the values of the comments "# key: value" in the text of a
// test case.
func Comments(text, key string) (values []string) {
	for line := range strings.Lines(text) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "# "+key+": "); ok {
			values = append(values, v)
		}
	}
	return values
}

// Write replaces a trace; an error ends the test.
func Write[T any](tb testing.TB, path string, lines []T) {
	tb.Helper()
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	for _, l := range lines {
		if err := enc.Encode(l); err != nil {
			tb.Fatal(err)
		}
	}
	if err := os.WriteFile(path, buf.Bytes(), 0o644); err != nil { //nolint:gosec // a file of the repository
		tb.Fatal(err)
	}
}
