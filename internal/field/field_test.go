package field

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// TestHead guards against a malformed name that is not found, against a valid one that is
// taken for malformed, and against a result that depends on how the head arrives.
func TestHead(t *testing.T) {
	for _, tt := range []struct {
		head, line string
		malformed  bool
	}{
		{"HTTP/1.1 200 OK\r\n\r\n", "", false},
		{"HTTP/1.1 200 OK\r\nA: b\r\nX-A:c d\r\n\r\n", "", false},
		{"HTTP/1.1 200 OK\nA: b\n\n", "", false},
		{"HTTP/1.1 200 O:\x01K\r\nA: : \tb\r\n\r\n", "", false},
		{"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n\r\n", "", false},
		{"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "A ", true},
		{"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", "A ", true},
		{"HTTP/1.1 200 OK\r\n A: b\r\n\r\n", " ", true},
		{"HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n", "\t", true},
		{"HTTP/1.1 200 OK\r\nA: b\r\nC\x00: d\r\n\r\n", "C\x00", true},
		{"HTTP/1.1 200 OK\r\nA: b\r\nC\x7f: d\r\n\r\n", "C\x7f", true},
		{"HTTP/1.1 200 OK\r\nA: b\r\n\rC: d\r\n\r\n", "\rC", true},
		{"HTTP/1.1 200 OK\r\nA: b\r\nC\r\n\r\n", "C\r", true},
		{"HTTP/1.1 200 OK\r\nA: b\r\n: d\r\n\r\n", ":", true},
		{"HTTP/1.1 200 OK\r\n" + strings.Repeat("a", 100) + " : d\r\n\r\n", strings.Repeat("a", maxLine), true},
	} {
		const before = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
		for _, bytewise := range []bool{false, true} {
			var h Head
			r := io.Reader(strings.NewReader(before + tt.head + "A : the body"))
			if bytewise {
				r = iotest.OneByteReader(r)
			}
			br := bufio.NewReader(io.TeeReader(r, &h))
			h.Begin(br)
			if _, err := http.ReadResponse(br, nil); err != nil {
				t.Fatal(err)
			}
			if line, malformed := h.Malformed(); malformed {
				t.Errorf("%q: got malformed line %q in the head before", tt.head, line)
			}
			h.Begin(br)
			if _, err := http.ReadResponse(br, nil); err != nil && !tt.malformed {
				t.Errorf("%q: %v", tt.head, err)
			}
			if line, malformed := h.Malformed(); malformed != tt.malformed || line != tt.line {
				t.Errorf("%q: got %q, %v, want %q, %v", tt.head, line, malformed, tt.line, tt.malformed)
			}
		}
	}
}

// FuzzHead guards against a malformed name that net/http accepts and Head does not find.
func FuzzHead(f *testing.F) {
	f.Add("A: b\r\n")
	f.Add("A : b\r\nC: d\n")
	f.Add("A: b\r\n c\r\n\r\nD : e\r\n")
	f.Fuzz(func(t *testing.T, lines string) {
		var h Head
		br := bufio.NewReader(io.TeeReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+lines+"\r\n"), &h))
		h.Begin(br)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			return
		}
		_ = res.Body.Close()
		if name, found := Malformed(res.Header); found {
			if _, malformed := h.Malformed(); !malformed {
				t.Errorf("got name %q in %q", name, lines)
			}
		}
	})
}

// TestMalformed guards against malformed names that net/http accepts.
func TestMalformed(t *testing.T) {
	for _, tt := range []struct {
		name string
		want bool
	}{{"Content-Length", false}, {"!#$%&'*+-.^_`|~09azAZ", false}, {"Content-Length ", true}, {"A B", true}, {"A\x00", true}, {"\x7f", true}, {"A:", true}, {"Ä", true}, {"", true}} {
		if name, got := Malformed(http.Header{"A": nil, tt.name: {"b"}}); got != tt.want || got && name != tt.name {
			t.Errorf("%q: got %q, %v, want %v", tt.name, name, got, tt.want)
		}
	}
}
