package request

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/config"
)

// FuzzDecodeCall guards against a forwarded call that makes a daemon panic, or
// that is accepted with an invalid deadline, path or header.
func FuzzDecodeCall(f *testing.F) {
	f.Fuzz(func(t *testing.T, path, id, timeout, runBy, version, idempotent, connection, body string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST /forward/" + path + " HTTP/1.1\r\nHost: x\r\n\r\n")))
		if err != nil {
			return
		}
		r.Body = http.NoBody
		if body != "" {
			r.Body = readCloser{strings.NewReader(body)}
		}
		for name, value := range map[string]string{
			HeaderRequest: id, HeaderTimeout: timeout, headerRunBy: runBy, HeaderVersion: version, headerIdempotent: idempotent,
			"Connection": connection, "X-Kept": "kept", headerClass: "c", headerRefused: "true",
		} {
			r.Header.Set(name, value)
		}
		now := time.Unix(1_800_000_000, 0)
		c, err := DecodeCall(r, "/forward/", now, MaxBody, nil)
		if err != nil {
			return
		}
		if c.ID == "" || !strings.HasPrefix(c.Path, "/") || len(c.Body) > MaxBody {
			t.Errorf("accepted id %q, path %q, %d bytes", c.ID, c.Path, len(c.Body))
		}
		if left := c.Deadline.Sub(now); left <= 0 || left > config.MaxTimeout {
			t.Errorf("timeout %q gives %v", timeout, left)
		}
		if left := c.RunBy.Sub(now); !c.RunBy.IsZero() && (left < -config.MaxTimeout || left > config.MaxTimeout) {
			t.Errorf("runBy %q gives %v", runBy, left)
		}
		for name := range c.Header {
			if meshHeaders[name] || name == "Connection" {
				t.Errorf("header %s was not removed", name)
			}
		}
		if c.StartBy().After(c.Deadline) {
			t.Errorf("start by %v, deadline %v", c.StartBy(), c.Deadline)
		}
		if _, err := NewHTTPRequest(t.Context(), "http://127.0.0.1:1"+c.Path, c); err != nil {
			t.Logf("NewHTTPRequest: %v", err)
		}
	})
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

// TestCleanHeader guards against forwarding hop-by-hop headers or meshHeaders,
// and against a change of the header that was passed in.
func TestCleanHeader(t *testing.T) {
	in := http.Header{
		"Accept": {"a", "b"}, "Connection": {"close, X-One", "x-two"}, "X-One": {"1"}, "X-Two": {"2"}, "Keep-Alive": {"1"}, "Te": {"trailers"},
		"Trailer": {"X"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"}, "Proxy-Authorization": {"p"}, "Expect": {"100-continue"},
		"Content-Length": {"1"}, "Content-Encoding": {"gzip"}, "Kingcuppitch-Elsewhere": {"1"},
	}
	for name := range meshHeaders {
		in[name] = []string{"1"}
	}
	before := len(in)
	got := CleanHeader(in)
	if len(got) != 3 || got.Get("Kingcuppitch-Elsewhere") != "1" || len(got["Accept"]) != 2 || got.Get("Content-Encoding") != "gzip" {
		t.Errorf("got %v", got)
	}
	if len(in) != before {
		t.Errorf("the input header changed: %v", in)
	}
	if CleanHeader(nil) == nil {
		t.Error("got nil for a nil header")
	}
}

// TestStatusOf guards against a status that guarantees that a request has not run
// although it may have.
func TestStatusOf(t *testing.T) {
	for outcome, want := range map[Outcome]int{NotRun: 503, Unknown: 502, "": 502} {
		if got := StatusOf(&Refusal{Outcome: outcome}); got != want {
			t.Errorf("outcome %q: got status %d, want %d", outcome, got, want)
		}
	}
}

// TestLoadReport guards against a load report that changes between host and entry, and
// against malformed values that are taken for a report.
func TestLoadReport(t *testing.T) {
	for _, want := range []Load{
		{InFlight: 3, Limit: 12, State: "warm"},
		{InFlight: 1, Limit: 2, State: "limited", RateLimit: 43.4, Mean: 60 * time.Millisecond},
		{InFlight: 30, Limit: 13, State: "warm", Admits: 2, UpstreamsOnly: true, Finishes: 0.43},
	} {
		h := make(http.Header)
		EncodeLoad(want, h)
		if got := DecodeLoad(h); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
		for name := range h {
			if !meshHeaders[name] {
				t.Errorf("header %s of a load report is passed on to callers", name)
			}
		}
		h.Set(HeaderRateLimit, "many")
		want.RateLimit = 0
		if got := DecodeLoad(h); got != want {
			t.Errorf("malformed rate limit: got %+v, want %+v", got, want)
		}
	}
}

// TestNames guards against a name that does not pass from entry to host, or that adds a
// header there, and against one that a daemon of an earlier release reads differently.
func TestNames(t *testing.T) {
	for _, tt := range []struct {
		name string
		// escaped means that a header cannot carry the name unchanged.
		escaped bool
	}{
		{"book-fitting", false}, {"book_fitting", false}, {"két fő 100%", false}, {strings.Repeat("long", 65), false},
		{"", false}, {" ", true}, {"a ", true}, {"%!b", true}, {"a\r\nKingcuppitch-Idempotent: true", true}, {"\x00\x7f", true},
	} {
		c := &Call{
			ID: "1", Method: http.MethodPost, Path: "/x", Header: http.Header{}, Deadline: time.Now().Add(time.Second),
			Route: tt.name, Class: tt.name, Upstream: tt.name, UpstreamVersion: tt.name,
		}
		req, err := NewForwardRequest(t.Context(), "http://127.0.0.1:1/forward/x", c)
		if err != nil {
			t.Fatal(err)
		}
		if sent := req.Header.Get(HeaderRoute); (sent != tt.name) != tt.escaped {
			t.Errorf("name %q: got header %q", tt.name, sent)
		}
		var wire strings.Builder
		if err := req.Header.Write(&wire); err != nil {
			t.Fatal(err)
		}
		received, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST /forward/x HTTP/1.1\r\nHost: x\r\n" + wire.String() + "\r\n")))
		if err != nil {
			t.Errorf("name %q: %v", tt.name, err)
			continue
		}
		got, err := DecodeCall(received, "/forward/", time.Now(), MaxBody, nil)
		if err != nil || got.Route != tt.name || got.Class != tt.name || got.Upstream != tt.name || got.UpstreamVersion != tt.name || got.Idempotent {
			t.Errorf("name %q: got %+v, error %v", tt.name, got, err)
		}
	}
}

// TestCallFlags guards against a flag of a call that does not reach the host, and against
// one that is sent although it is not set, which changes the bytes between daemons.
func TestCallFlags(t *testing.T) {
	for _, set := range []bool{false, true} {
		c := &Call{ID: "1", Method: http.MethodGet, Path: "/x", Deadline: time.Now().Add(time.Second), Nested: set, Repeat: set}
		r, err := NewForwardRequest(t.Context(), "http://127.0.0.1:1/forward/x", c)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{headerNested, headerRepeat} {
			if sent := r.Header.Get(name) != ""; sent != set || !meshHeaders[name] {
				t.Errorf("set %v: header %s is sent: %v", set, name, sent)
			}
		}
		got, err := DecodeCall(r, "/forward/", time.Now(), MaxBody, nil)
		if err != nil || got.Nested != set || got.Repeat != set {
			t.Errorf("got %+v, error %v, want the flags %v", got, err, set)
		}
	}
}

// TestRetryTime guards against a retry time that depends on the clocks of two daemons,
// which may differ by hours, and against one that a daemon of an earlier release does
// not send or understand.
func TestRetryTime(t *testing.T) {
	const wait = 400 * time.Millisecond
	for _, tt := range []struct {
		name         string
		change       func(http.Header)
		least, limit time.Duration
	}{
		{"clocksDiffer", func(h http.Header) { h.Set(headerRetryAt, "1") }, wait - 50*time.Millisecond, wait + time.Millisecond},
		{"earlierRelease", func(h http.Header) { h.Del(headerRetryIn) }, wait - 50*time.Millisecond, wait + time.Millisecond},
		{"malformed", func(h http.Header) { h.Set(headerRetryIn, "soon") }, wait - 50*time.Millisecond, wait + time.Millisecond},
		{"tooLong", func(h http.Header) { h.Set(headerRetryIn, "9223372036854775807") }, config.MaxTimeout - time.Second, config.MaxTimeout},
	} {
		h := make(http.Header)
		EncodeRefusal(&Refusal{Outcome: NotRun, Reason: ReasonOverload, RetryAt: time.Now().Add(wait)}, h)
		if h.Get(headerRetryAt) == "" {
			t.Error("a daemon of an earlier release gets no retry time")
		}
		tt.change(h)
		ref, ok := DecodeRefusal(http.StatusServiceUnavailable, h, nil)
		if !ok {
			t.Fatal("got no refusal")
		}
		if got := time.Until(ref.RetryAt); got < tt.least || got > tt.limit {
			t.Errorf("%s: got a wait of %v, want %v to %v", tt.name, got, tt.least, tt.limit)
		}
	}
}
