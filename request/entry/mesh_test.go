package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/request/claim"
	"github.com/kingcuppitch/kingcuppitch/request/host"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/request/tenant"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// wireUpstream is an upstream that reads and writes raw bytes, so that it can send what
// net/http would not.
type wireUpstream struct {
	t      *testing.T
	ln     net.Listener
	answer func(c net.Conn, r *http.Request, body []byte)

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	runs  map[string]int // complete requests by path
	seen  atomic.Int64   // requests of which a byte arrived
}

var addresses atomic.Uint32

// listenUnique listens on an IP address that no other listener of the test uses, so
// that the address refuses connections once the listener is closed.
func listenUnique(t *testing.T) net.Listener {
	t.Helper()
	n := addresses.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(2 + n/250%250), byte(os.Getpid()), byte(1 + n%250)})
	ln, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func newUpstream(t *testing.T, answer func(c net.Conn, r *http.Request, body []byte)) *wireUpstream {
	t.Helper()
	ln := listenUnique(t)
	u := &wireUpstream{t: t, ln: ln, answer: answer, conns: make(map[net.Conn]struct{}), runs: make(map[string]int)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns[c] = struct{}{}
			u.mu.Unlock()
			go u.serve(c)
		}
	}()
	t.Cleanup(u.close)
	return u
}

func (u *wireUpstream) addr() netip.AddrPort { return netip.MustParseAddrPort(u.ln.Addr().String()) }

// close closes the listener and all connections, as happens when a process exits.
func (u *wireUpstream) close() {
	_ = u.ln.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close()
	}
}

func (u *wireUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		u.seen.Add(1)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.runs[r.URL.Path]++
		u.mu.Unlock()
		u.answer(c, r, body)
	}
}

func (u *wireUpstream) ran(path string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[path]
}

// raw answers with the given text, in which {id} stands for the request id.
func raw(text string) func(net.Conn, *http.Request, []byte) {
	return func(c net.Conn, r *http.Request, _ []byte) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "{id}", r.Header.Get(request.HeaderUpstreamRequest)))
	}
}

// rawThenClose answers with the given text and closes the connection.
func rawThenClose(text string) func(net.Conn, *http.Request, []byte) {
	return func(c net.Conn, r *http.Request, body []byte) {
		raw(text)(c, r, body)
		_ = c.Close()
	}
}

// echo answers with the path.
func echo(c net.Conn, r *http.Request, _ []byte) {
	raw("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: "+strconv.Itoa(len(r.URL.Path))+"\r\n\r\n"+r.URL.Path)(c, r, nil)
}

// fixedView is a View that does not change.
type fixedView struct{ snap *control.Snapshot }

func (v fixedView) Snapshot() *control.Snapshot { return v.snap }

// mesh is an entry with the hosts of its upstreams.
type mesh struct {
	entry   *Entry
	url     string
	metrics *metrics.Set
	limiter *admission.Limiter
	hosts   []*httptest.Server
	server  *httptest.Server
}

// close stops all servers before the end of the test.
func (m *mesh) close() {
	callerTransport.CloseIdleConnections()
	m.server.CloseClientConnections()
	m.server.Close()
	for _, h := range m.hosts {
		h.CloseClientConnections()
		h.Close()
	}
}

const answerWithin = 3 * time.Second

type meshOptions struct {
	// local puts the entry and the first host into one daemon.
	local  bool
	claims Claims
	slots  int
	// peerProxy is called with the address of each peer and returns the address that
	// the entry uses instead.
	peerProxy func(netip.AddrPort) netip.AddrPort
	// upstreamProxy does the same for the addresses of the upstreams.
	upstreamProxy func(netip.AddrPort) netip.AddrPort
	entry         []Option
	// host holds the header names of the upstreams; the zero value means the default.
	host request.Headers
	// tenants hold the keys that callers need, except on the route slots.
	tenants []config.Tenant
}

func newMesh(t *testing.T, o meshOptions, upstreams ...netip.AddrPort) *mesh {
	t.Helper()
	if o.slots == 0 {
		o.slots = 100
	}
	st := &fold.State{Version: 7, Zones: make(map[string]fold.Zone)}
	within := config.Duration(answerWithin)
	st.Config = config.Config{
		Zones:     []config.Zone{{Name: "a", Region: "r"}},
		Upstreams: []config.Upstream{{Name: "booking", Versions: []string{"v1"}, Active: "v1", Slots: o.slots, ColdSlots: o.slots, Connections: 120}},
		Routes: []config.Route{
			{Name: "slots", Prefix: "/slots", Upstream: "booking", Idempotent: true, Class: "browse", AnswerWithin: within},
			{Name: "reserve", Prefix: "/reserve", Upstream: "booking", Class: "book", AnswerWithin: within},
			{Name: "timely", Prefix: "/timely", Upstream: "booking", Idempotent: true, Class: "browse", AnswerWithin: within, Objective: within / 20, Attempts: 2},
			{Name: "archive", Prefix: "/archive", Upstream: "booking", Internal: true, Class: "browse", AnswerWithin: within},
		},
		Presets: []config.Preset{{Name: "ordinary", RetryPercent: 20, CanaryPercent: 5}},
	}
	st.Config.Tenants, st.Config.Routes[0].Public = o.tenants, len(o.tenants) > 0
	tenants := tenant.New(o.tenants)
	m := &mesh{metrics: new(metrics.Set), limiter: new(admission.Limiter)}
	m.limiter.SetLimits(admission.Limits{Slots: o.slots, ColdSlots: o.slots})
	if o.host == (request.Headers{}) {
		o.host = request.DefaultHeaders
	}
	var members []membership.Member
	var local Local
	for i, addr := range upstreams {
		self := membership.Member{Name: "booking-" + strconv.Itoa(i), Zone: "a", Region: "r", Service: "booking", Version: "v1", State: membership.Ready}
		h := host.New(fixedView{&control.Snapshot{State: st, Self: self, Serving: true, Tenants: tenants}}, m.limiter, host.WithMetrics(m.metrics), host.WithHeaders(o.host))
		if o.upstreamProxy != nil {
			addr = o.upstreamProxy(addr)
		}
		h.SetUpstream(host.Upstream{Address: addr, Connections: 120})
		srv := httptest.NewUnstartedServer(h)
		srv.Config.Protocols = new(http.Protocols)
		srv.Config.Protocols.SetUnencryptedHTTP2(true)
		_ = srv.Listener.Close()
		srv.Listener = listenUnique(t)
		srv.Start()
		t.Cleanup(srv.Close)
		m.hosts = append(m.hosts, srv)
		self.Peer = netip.MustParseAddrPort(srv.Listener.Addr().String())
		if o.peerProxy != nil {
			self.Peer = o.peerProxy(self.Peer)
		}
		members = append(members, self)
		if i == 0 {
			local = h
		}
	}
	opts := append([]Option{WithMetrics(m.metrics)}, o.entry...)
	if o.local {
		opts = append(opts, WithName(members[0].Name))
	}
	if o.claims != nil {
		opts = append(opts, WithClaims(o.claims))
	}
	m.entry = New(fixedView{&control.Snapshot{State: st, Table: route.NewTable(st, members, "a", "r"), Serving: true, Tenants: tenants}}, local, opts...)
	srv := httptest.NewServer(m.entry)
	t.Cleanup(srv.Close)
	m.url, m.server = srv.URL, srv
	return m
}

// reply is what a caller received.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	length  int64
	err     error
}

func (r reply) outcome() request.Outcome {
	return request.Outcome(r.header.Get(request.HeaderOutcome))
}

func (r reply) reason() request.Reason { return request.Reason(r.header.Get(request.HeaderReason)) }

// callerTransport sends each request unchanged; it neither follows redirects nor
// decompresses answers.
var callerTransport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200}

func (m *mesh) call(t *testing.T, method, path, body string, header ...string) reply {
	t.Helper()
	return m.callCtx(t.Context(), method, path, body, header...)
}

func (m *mesh) callCtx(ctx context.Context, method, path, body string, header ...string) reply {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second) // a hang fails the test, not the run
	defer cancel()
	var rd io.Reader
	if body != "" {
		rd = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, m.url+path, rd)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	req.GetBody = nil
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := callerTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, res.Trailer, string(data), res.ContentLength, err}
}

// middlebox forwards connections. After silence, the existing ones drop all bytes while
// new ones work.
type middlebox struct {
	mu    sync.Mutex
	links []*link
}

type link struct{ silent atomic.Bool }

func (m *middlebox) proxy(t *testing.T) func(netip.AddrPort) netip.AddrPort {
	return func(to netip.AddrPort) netip.AddrPort {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				a, err := ln.Accept()
				if err != nil {
					return
				}
				b, err := net.Dial("tcp", to.String())
				if err != nil {
					_ = a.Close()
					continue
				}
				l := new(link)
				m.mu.Lock()
				m.links = append(m.links, l)
				m.mu.Unlock()
				go l.relay(a, b)
				go l.relay(b, a)
			}
		}()
		return netip.MustParseAddrPort(ln.Addr().String())
	}
}

func (m *middlebox) silence() (connections int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.silent.Store(true)
	}
	return len(m.links)
}

func (l *link) relay(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if l.silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// fakeClaims grants each key once and stores how its claims end.
type fakeClaims struct {
	mu       sync.Mutex
	held     map[string]bool
	done     map[string]claim.Stored
	released map[string]int
	down     bool
}

func (f *fakeClaims) Claim(_ context.Context, key, _ string) (claim.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s, ok := f.done[key]; {
	case f.down:
		return claim.Grant{}, claim.ErrUnavailable
	case ok:
		return claim.Grant{Result: claim.Done, Stored: s}, nil
	case f.held[key]:
		return claim.Grant{Result: claim.Taken}, nil
	}
	if f.held == nil {
		f.held, f.done, f.released = make(map[string]bool), make(map[string]claim.Stored), make(map[string]int)
	}
	f.held[key] = true
	return claim.Grant{Result: claim.Granted, RunBy: time.Now().Add(time.Minute)}, nil
}

func (f *fakeClaims) Release(_ context.Context, key, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.held[key] {
		return errors.New("not held")
	}
	f.held[key] = false
	f.released[key]++
	return nil
}

func (f *fakeClaims) Finish(_ context.Context, key, _ string, s claim.Stored) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done[key] = s
	return nil
}

// runLocalAndForwarded runs a test with the host in the process of the entry, and with
// a host that is reached over h2c.
func runLocalAndForwarded(t *testing.T, f func(t *testing.T, local bool)) {
	t.Run("local", func(t *testing.T) { f(t, true) })
	t.Run("forwarded", func(t *testing.T) { f(t, false) })
}

// redirectTo returns a proxy function that replaces every address by that of a
// listener.
func redirectTo(ln net.Listener) func(netip.AddrPort) netip.AddrPort {
	return func(netip.AddrPort) netip.AddrPort { return netip.MustParseAddrPort(ln.Addr().String()) }
}

// addr returns the address of a host.
func (m *mesh) addr(i int) netip.AddrPort {
	return netip.MustParseAddrPort(m.hosts[i].Listener.Addr().String())
}
