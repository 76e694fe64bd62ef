package upstream_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/loopback"
	"github.com/kingcuppitch/kingcuppitch/standin/upstream"
)

// start runs an instance until the end of the test and returns its base URL.
func start(t *testing.T, opts ...upstream.Option) (upstream.Instance, string) {
	t.Helper()
	addrs, err := loopback.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	opts = append([]upstream.Option{upstream.WithAddress(addrs[0]), upstream.WithQuiet(0)}, opts...)
	in := upstream.NewInstance(opts...)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- in.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	await(t, "ready", func() bool { return in.Stats().State != "" })
	return in, "http://" + addrs[0].String()
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 10 s", what)
		}
	}
}

type result struct {
	status int
	id     string
	body   []byte
	err    error
}

func send(client *http.Client, method, url, id, body string, header ...string) result {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("Request-Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return result{res.StatusCode, res.Header.Get("Request-Id"), data, err}
}

func newClient(t *testing.T) *http.Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 100}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: 5 * time.Second}
}

// sendAll sends n requests at once and returns the count of each status.
func sendAll(client *http.Client, n int, url string) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	got := make(map[int]int)
	for i := range n {
		wg.Go(func() {
			res := send(client, http.MethodGet, url, fmt.Sprint(i), "")
			mu.Lock()
			defer mu.Unlock()
			got[res.status]++
		})
	}
	wg.Wait()
	return got
}

// TestAnswerIsOfItsRequest guards against answers that cannot be matched to their
// requests, and against runs that are not counted.
func TestAnswerIsOfItsRequest(t *testing.T) {
	in, url := start(t)
	client := newClient(t)
	for range 2 {
		res := send(client, http.MethodPost, url+"/reserve?n=1", "id-1", "body", "Idempotency-Key", "k")
		if res.err != nil || res.status != http.StatusOK || res.id != "id-1" {
			t.Fatalf("got %+v, want 200 with id-1", res)
		}
		if err := upstream.Check(res.body, http.MethodPost, "/reserve?n=1", []byte("body")); err != nil {
			t.Error(err)
		}
		if upstream.Check(res.body, http.MethodPost, "/reserve?n=1", []byte("other")) == nil {
			t.Error("Check accepts the answer to a request with another body")
		}
	}
	want := upstream.Run{Started: 2, Completed: 2}
	runs := in.Runs()
	if runs.Keys["k"] != want || runs.Bodies[upstream.Hash([]byte("body"))] != want {
		t.Errorf("got runs %+v, want %+v for key and body", runs, want)
	}
}

// TestCapacity guards against an instance without a limit on its load, both in cold
// start and warm.
func TestCapacity(t *testing.T) {
	in, url := start(t, upstream.WithCapacity(4, 1, 100), upstream.WithStart(0, 400*time.Millisecond))
	client := newClient(t)
	if got := sendAll(client, 1, url+"/?workMs=20"); got[200] != 1 {
		t.Errorf("one request when cold: got %v, want 200", got)
	}
	if got := sendAll(client, 6, url+"/?workMs=50"); got[503] < 3 || in.Stats().FellOver != 1 {
		t.Errorf("6 requests when cold: got %v and FellOver %d, want at least 3 times 503 and FellOver 1", got, in.Stats().FellOver)
	}
	await(t, "end of cold start", func() bool { return !in.Stats().Cold })
	// The capacity is 4 slots and a queue of 4.
	if got := sendAll(client, 12, url+"/?workMs=300"); got[200] != 8 || got[503] != 4 {
		t.Errorf("12 requests when warm: got %v, want 8 times 200 and 4 times 503", got)
	}
}

// TestConnectionBound guards against more open connections than the limit.
func TestConnectionBound(t *testing.T) {
	in, url := start(t, upstream.WithCapacity(4, 4, 2))
	sendAll(newClient(t), 4, url+"/?workMs=50")
	if s := in.Stats(); s.Open > 2 || s.RefusedConnections == 0 {
		t.Errorf("got %d open and %d refused, want at most 2 open and some refused", s.Open, s.RefusedConnections)
	}
}

// TestDeadline guards against work that continues after the deadline of its request.
func TestDeadline(t *testing.T) {
	in, url := start(t)
	begin := time.Now()
	res := send(newClient(t), http.MethodGet, url+"/?workMs=3000", "1", "", "Request-Timeout-Ms", "50")
	if s := in.Stats(); res.status != http.StatusGatewayTimeout || s.Completed != 0 || time.Since(begin) > 2*time.Second {
		t.Errorf("got %+v with %d completed after %v, want 504 after 50 ms", res, s.Completed, time.Since(begin))
	}
}

// TestFaults guards against faults that have no effect on the client.
func TestFaults(t *testing.T) {
	in, url := start(t)
	client := newClient(t)
	get := func(path, id string) result { return send(client, http.MethodGet, url+path, id, "") }

	in.SetFaults(upstream.Faults{ErrorRatio: 1, PathPrefix: "/bad"})
	if a, b := get("/bad", "1"), get("/good", "1"); a.status != 500 || b.status != 200 {
		t.Errorf("errors on /bad: got %d there and %d elsewhere, want 500 and 200", a.status, b.status)
	}
	in.SetFaults(upstream.Faults{ErrorRatio: 1, AfterMs: 200})
	if got := get("/", "1").status; got != 200 {
		t.Errorf("before AfterMs has passed: got %d, want 200", got)
	}
	await(t, "fault", func() bool { return get("/", "1").status == 500 })
	in.SetFaults(upstream.Faults{ErrorRatio: 1, AboveInFlight: 1})
	if one, many := get("/", "1").status, sendAll(client, 4, url+"/?workMs=50"); one != 200 || many[500] < 2 {
		t.Errorf("errors above 1 in flight: got %d alone and %v together, want 200 and some 500", one, many)
	}
	in.SetFaults(upstream.Faults{Truncated: 1})
	if got := get("/", "1"); got.err == nil {
		t.Errorf("truncated: got %+v, want an error", got)
	}
	in.SetFaults(upstream.Faults{HealthStatus: 503})
	if got := get("/health", "1").status; got != 503 {
		t.Errorf("health status override: got %d, want 503", got)
	}
	in.SetFaults(upstream.Faults{Crossed: 1})
	var first result
	var wg sync.WaitGroup
	wg.Go(func() { first = get("/?n=1", "1") })
	second := get("/?n=2", "2")
	wg.Wait()
	if first.id != "2" || second.id != "1" || upstream.Check(first.body, http.MethodGet, "/?n=2", nil) != nil {
		t.Errorf("crossed: got ids %q and %q, want 2 and 1", first.id, second.id)
	}
}

// TestSilence guards against silent connections that answer, or that block new ones.
func TestSilence(t *testing.T) {
	in, url := start(t)
	old := newClient(t)
	if got := send(old, http.MethodGet, url, "1", ""); got.status != 200 {
		t.Fatalf("got %+v, want 200", got)
	}
	res := httptest.NewRecorder()
	in.Admin().ServeHTTP(res, httptest.NewRequest(http.MethodPost, "/silence", nil))
	old.Timeout = 200 * time.Millisecond
	if got := send(old, http.MethodGet, url, "1", ""); got.err == nil {
		t.Errorf("on the old connection: got %+v, want no answer", got)
	}
	if got := send(newClient(t), http.MethodGet, url, "1", ""); got.status != 200 {
		t.Errorf("on a new connection: got %+v, want 200", got)
	}
	if got, want := in.Stats().Started, int64(2); got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// TestCrashAndAnnouncements guards against requests in flight that complete despite a
// crash, and against a restart whose announcements carry the previous incarnation.
func TestCrashAndAnnouncements(t *testing.T) {
	var mu sync.Mutex
	seen := make(map[uint64][]upstream.State)
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a upstream.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil || r.URL.Path != "/announce" {
			t.Errorf("%s: %v", r.URL, err)
		}
		mu.Lock()
		defer mu.Unlock()
		seen[a.Incarnation] = append(seen[a.Incarnation], a.State)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer daemon.Close()
	in, url := start(t, upstream.WithAnnounce(netip.MustParseAddrPort(daemon.Listener.Addr().String())))
	in.SetFaults(upstream.Faults{CrashBody: "boom", CrashForMs: 100})
	before := in.Stats().Incarnation
	client := newClient(t)
	var other result
	var wg sync.WaitGroup
	wg.Go(func() { other = send(client, http.MethodPost, url+"/?workMs=2000", "1", "innocent") })
	await(t, "request", func() bool { return in.Stats().InFlight == 1 })
	if got := send(client, http.MethodPost, url+"/?workMs=2000", "2", "boom"); got.err == nil {
		t.Errorf("got %+v, want a connection error", got)
	}
	wg.Wait()
	if got := in.Runs().Bodies[upstream.Hash([]byte("innocent"))]; other.err == nil || got != (upstream.Run{Started: 1}) {
		t.Errorf("request in flight at the crash: got %+v and runs %+v, want an error and a run that did not complete", other, got)
	}
	if got := send(newClient(t), http.MethodGet, url, "3", ""); got.err == nil {
		t.Errorf("during the crash: got %+v, want a refused connection", got)
	}
	await(t, "restart", func() bool { return in.Stats().Incarnation > before })
	await(t, "announcements of two incarnations", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(seen) == 2
	})
}
