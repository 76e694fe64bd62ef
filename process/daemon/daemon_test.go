package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch/internal/loopback"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

// fakeLog serves the protocol of the log from memory.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]map[string]any
}

func (l *fakeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/streams/")
	if r.Method == http.MethodPost {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		offset := l.append(name, data)
		w.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset})
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	until, _ := strconv.ParseInt(r.URL.Query().Get("waitUntil"), 10, 64)
	for {
		l.mu.Lock()
		all := l.streams[name]
		l.mu.Unlock()
		records := all[min(len(all), from-1):]
		if len(records) > 0 || !time.Now().Before(time.UnixMilli(until)) || r.Context().Err() != nil {
			_ = json.NewEncoder(w).Encode(map[string]any{"first": 1, "next": len(all) + 1, "records": records})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *fakeLog) append(name string, data []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams == nil {
		l.streams = make(map[string][]map[string]any)
	}
	offset := len(l.streams[name]) + 1
	l.streams[name] = append(l.streams[name], map[string]any{"offset": offset, "at": time.Now(), "data": data})
	return offset
}

// node is a daemon with its upstream.
type node struct {
	settings settings.Settings
	upstream *httptest.Server
	runs     sync.Map // path to *atomic.Int64
	stop     context.CancelFunc
	done     chan error
}

// freeAddr returns an unused address.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	addrs, err := loopback.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	return addrs[0]
}

func startNode(t *testing.T, balancing settings.Balancing, name string, log netip.AddrPort, seeds ...netip.AddrPort) *node {
	t.Helper()
	n := &node{done: make(chan error, 1)}
	n.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		count, _ := n.runs.LoadOrStore(r.URL.Path, new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
		if r.URL.Query().Get("slow") != "" {
			time.Sleep(2 * time.Millisecond)
		}
		w.Header().Set(request.HeaderUpstreamRequest, r.Header.Get(request.HeaderUpstreamRequest))
		_, _ = w.Write(body)
	}))
	t.Cleanup(n.upstream.Close)
	n.settings = settings.Settings{
		Name: name, Region: "r", Zone: "a", CallerAddress: freeAddr(t), PeerAddress: freeAddr(t), AnnounceAddress: freeAddr(t),
		MetricsAddress: freeAddr(t), LogAddress: log, Seeds: seeds, LogLevel: "error",
		Balancing: balancing,
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.done <- New(n.settings, hclog.NewNullLogger()).Run(ctx) }()
	announcing, stopAnnouncing := context.WithCancel(context.Background())
	go func() {
		body, _ := json.Marshal(Announcement{
			Service: "booking", Version: "v1", State: "ready", Incarnation: 1,
			Address: netip.MustParseAddrPort(n.upstream.Listener.Addr().String()),
		})
		for announcing.Err() == nil {
			if res, err := http.Post("http://"+n.settings.AnnounceAddress.String()+"/announce", "application/json", bytes.NewReader(body)); err == nil {
				_ = res.Body.Close()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		stopAnnouncing()
		cancel()
	})
	return n
}

// readyTimeout bounds the setup of a test. Other packages run tests at the same time,
// and peers may suspect a daemon for a while that gets too little CPU time.
const readyTimeout = 45 * time.Second

// waitReady waits until an entry reaches the upstreams of all nodes.
func waitReady(t *testing.T, entry *node, all ...*node) {
	t.Helper()
	end := time.Now().Add(readyTimeout)
	for ready := false; !ready; time.Sleep(20 * time.Millisecond) {
		for _, n := range all {
			select {
			case err := <-n.done:
				t.Fatalf("%s ended: %v", n.settings.Name, err)
			default:
			}
		}
		if time.Now().After(end) {
			t.Fatalf("%s does not reach all upstreams within %v", entry.settings.Name, readyTimeout)
		}
		path := "/reserve/ready-" + entry.settings.Name
		if res, err := http.Post("http://"+entry.settings.CallerAddress.String()+path, "text/plain", nil); err == nil {
			_ = res.Body.Close()
		}
		ready = true
		for _, n := range all {
			_, ok := n.runs.Load(path)
			ready = ready && ok
		}
	}
}

func startMesh(t *testing.T) (a, b *node) {
	t.Helper()
	return startBalancingMesh(t, settings.Balancing{})
}

func startBalancingMesh(t *testing.T, balancing settings.Balancing) (a, b *node) {
	t.Helper()
	log := new(fakeLog)
	answerTimeout := config.Duration(10 * time.Second)
	rec := record.Record{ID: "1", Kind: record.KindPublish, At: time.Now(), Publish: &config.Change{Upserts: config.Config{
		Zones:     []config.Zone{{Name: "a", Region: "r"}},
		Upstreams: []config.Upstream{{Name: "booking", Versions: []string{"v1"}, Active: "v1", Slots: 50, ColdSlots: 50, Connections: 120}},
		Routes:    []config.Route{{Name: "reserve", Prefix: "/reserve", Upstream: "booking", Class: "book", AnswerWithin: answerTimeout}},
		Presets:   []config.Preset{{Name: "ordinary", Shed: []string{"book"}, RetryPercent: 20, CanaryPercent: 5}},
	}}}
	data, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	log.append(record.Stream, data)
	srv := httptest.NewServer(log)
	t.Cleanup(srv.Close)
	addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
	a = startNode(t, balancing, "booking-a", addr)
	b = startNode(t, balancing, "booking-b", addr, a.settings.PeerAddress)
	waitReady(t, a, a, b)
	waitReady(t, b, a, b)
	return a, b
}

// TestForwardedPathAndHeader guards against forwarded calls that fail although a
// caller may send them: unclean paths, which http.ServeMux redirects, and headers near
// the limit, for which HTTP/2 counts more bytes.
func TestForwardedPathAndHeader(t *testing.T) {
	t.Parallel()
	a, b := startMesh(t)
	const calls = 40 // with two instances, all calls are local with a probability of 2^-40
	for i := range calls {
		path := fmt.Sprintf("/reserve//x/../%d", i)
		req, err := http.NewRequest(http.MethodPost, "http://"+a.settings.CallerAddress.String()+path, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		for field := range 600 {
			req.Header.Set(fmt.Sprint("X-Field-", field), strings.Repeat("v", 80))
		}
		res, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != 200 || string(body) != "body" {
			t.Fatalf("%s: got %d %.200s %v", path, res.StatusCode, body, err)
		}
	}
	remote := 0
	b.runs.Range(func(any, any) bool { remote++; return true })
	if remote < 2 {
		t.Error("no call was forwarded, so the test is not conclusive")
	}
}

// TestGracefulStop guards against a planned stop that interrupts a request. Callers
// send without pause over persistent connections, open a new one when the daemon
// closes one with an answer, and switch to the other daemon only when a connection is
// refused.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	a, b := startMesh(t)
	const callers = 8
	var (
		wg           sync.WaitGroup
		sent, failed atomic.Int64
		afterStop    atomic.Int64
		stopped, end atomic.Bool
	)
	for i := range callers {
		wg.Go(func() {
			tr := &http.Transport{}
			defer tr.CloseIdleConnections()
			target := a
			for n := 0; !end.Load(); n++ {
				path := fmt.Sprintf("/reserve/%d/%d", i, n)
				res, err := tr.RoundTrip(post(target, path))
				if errors.Is(err, syscall.ECONNREFUSED) && target == a {
					target = b
					continue
				}
				sent.Add(1)
				if stopped.Load() {
					afterStop.Add(1)
				}
				if err != nil {
					failed.Add(1)
					t.Errorf("%s by %s: %v", path, target.settings.Name, err)
					return
				}
				body, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				if err != nil || res.StatusCode != 200 || string(body) != path {
					failed.Add(1)
					t.Errorf("%s by %s: got %d %.200s %v", path, target.settings.Name, res.StatusCode, body, err)
					return
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stopped.Store(true)
	a.stop()
	select {
	case err := <-a.done:
		if err != nil {
			t.Errorf("the daemon ended with %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the daemon has not ended within 20 s")
	}
	end.Store(true)
	wg.Wait()
	if afterStop.Load() == 0 {
		t.Error("no request was sent during the stop, so the test is not conclusive")
	}
	for _, n := range []*node{a, b} {
		n.runs.Range(func(path, count any) bool {
			if c := count.(*atomic.Int64).Load(); c > 1 && !strings.HasPrefix(path.(string), "/reserve/ready") {
				t.Errorf("%s ran %d times on one instance", path, c)
			}
			return true
		})
	}
	t.Logf("%d requests, %d of them during the stop, %d interrupted", sent.Load(), afterStop.Load(), failed.Load())
}

// TestCloseOfListener guards against a reset of connections that are in the accept
// queue of a listener when it is closed.
func TestCloseOfListener(t *testing.T) {
	const conns = 20
	ln, err := listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open []net.Conn
	for range conns {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }()
	for i, c := range open {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("connection %d: %v", i, err)
			continue
		}
		_ = res.Body.Close()
	}
	if _, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		t.Error("a connection was accepted after the close")
	}
}

func post(n *node, path string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerAddress.String()+path+"?slow=1", struct{ io.Reader }{strings.NewReader(path)})
	if err != nil {
		panic(err)
	}
	return req
}
