package probe

import (
	"math"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// counters counts what sockets report.
type counters struct {
	mu sync.Mutex
	n  map[string]int64
}

func (c *counters) add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[string]int64)
	}
	c.n[name] += n
}

func (c *counters) get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}

// answered is one call of Socket.Answered.
type answered struct {
	name        string
	load        request.Load
	incarnation uint64
}

var testLoad = request.Load{
	InFlight: 7, Limit: 9, State: "cold", RateLimit: 21.5, Mean: 141 * time.Millisecond, Capacity: 64.25, Admits: 3,
}

// open returns a socket on the given address that answers with testLoad.
func open(t *testing.T, addr string, incarnation uint64) (*Socket, *counters, chan answered) {
	t.Helper()
	c, reports := new(counters), make(chan answered, 100)
	s := &Socket{
		Load: func() (request.Load, uint64) { return testLoad, incarnation },
		Answered: func(name string, l request.Load, incarnation uint64, _ time.Time) {
			reports <- answered{name, l, incarnation}
		},
		Count: c.add,
	}
	if err := s.Listen(netip.MustParseAddrPort(addr)); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Serve()
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s, c, reports
}

func receive(t *testing.T, reports chan answered) answered {
	t.Helper()
	select {
	case a := <-reports:
		return a
	case <-time.After(5 * time.Second):
		t.Fatal("no answer")
		return answered{}
	}
}

func waitFor(t *testing.T, c *counters, name string, want int64) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); c.get(name) < want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: got %d, want %d", name, c.get(name), want)
		}
	}
}

// TestProbe guards against fields of a report that are lost or altered on the way, also
// when the answering daemon has restarted on the same address.
func TestProbe(t *testing.T) {
	s, _, reports := open(t, "127.0.0.1:0", 1)
	peer, _, _ := open(t, "127.0.0.1:0", 41)
	addr := peer.Addr()
	for _, incarnation := range []uint64{41, 42} {
		if incarnation == 42 {
			_ = peer.Close()
			open(t, addr.String(), incarnation)
		}
		if !s.Probe("a7", addr, time.Now()) {
			t.Fatal("the probe was not sent")
		}
		if got, want := receive(t, reports), (answered{"a7", testLoad, incarnation}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

// TestLostAnswers guards against probes that are sent without bound while no answers
// arrive, and against a socket that sends none after the answers were lost.
func TestLostAnswers(t *testing.T) {
	s, c, reports := open(t, "127.0.0.1:0", 1)
	peer, _, _ := open(t, "127.0.0.1:0", 41)
	silent, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	to, now := silent.LocalAddr().(*net.UDPAddr).AddrPort(), time.Now()
	for range 2 * maxOutstanding {
		s.Probe("lost", to, now)
	}
	if got := c.get("loads.probesSent"); got != maxOutstanding {
		t.Errorf("got %d probes sent, want %d", got, maxOutstanding)
	}
	if got := c.get("loads.probesNotSent"); got != maxOutstanding {
		t.Errorf("got %d probes not sent, want %d", got, maxOutstanding)
	}
	if !s.Probe("a7", peer.Addr(), now.Add(answerTimeout)) {
		t.Fatal("no probe is sent after the time for the answers")
	}
	if got := receive(t, reports).name; got != "a7" {
		t.Errorf("got an answer for %q, want one for a7", got)
	}
}

// TestForeignAnswers guards against reports from datagrams that answer no probe: forged,
// repeated, late, truncated or out of range.
func TestForeignAnswers(t *testing.T) {
	s, c, reports := open(t, "127.0.0.1:0", 1)
	dial := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	peer, other := dial(), dial()
	probe := func(sentAt time.Time) uint64 {
		if !s.Probe("a7", peer.LocalAddr().(*net.UDPAddr).AddrPort(), sentAt) {
			t.Fatal("the probe was not sent")
		}
		var b [probeSize + 1]byte
		n, _, err := peer.ReadFromUDPAddrPort(b[:])
		if err != nil {
			t.Fatal(err)
		}
		nonce, ok := decodeProbe(b[:n])
		if !ok {
			t.Fatalf("got %x, want a probe", b[:n])
		}
		return nonce
	}
	send := func(from *net.UDPConn, b []byte) {
		if _, err := from.WriteToUDPAddrPort(b, s.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	answer := func(nonce uint64, l request.Load) []byte {
		var b [answerSize]byte
		encodeAnswer(&b, nonce, report{l, 41})
		return b[:]
	}
	nonce := probe(time.Now())
	rates := testLoad
	rates.Capacity = math.NaN()
	state := answer(nonce, testLoad)
	state[offsetState] = byte(len(states))
	limit := answer(nonce, testLoad)
	limit[offsetLimit] = 0xff
	version := answer(nonce, testLoad)
	version[offsetVersion]++
	malformed := [][]byte{
		{}, {messageVersion}, answer(nonce, testLoad)[:answerSize-1], append(answer(nonce, testLoad), 0), answer(nonce, rates), state, limit, version,
	}
	for _, b := range malformed {
		send(peer, b)
	}
	waitFor(t, c, "loads.probesMalformed", int64(len(malformed)))
	send(other, answer(nonce, testLoad))               // another address
	send(peer, answer(nonce+maxOutstanding, testLoad)) // another nonce
	waitFor(t, c, "loads.probesUnmatched", 2)
	send(peer, answer(nonce, testLoad))
	receive(t, reports)
	send(peer, answer(nonce, testLoad)) // repeated
	send(peer, answer(probe(time.Now().Add(-answerTimeout)), testLoad))
	waitFor(t, c, "loads.probesUnmatched", 4)
	if got := len(reports); got != 0 {
		t.Errorf("got %d more reports, want none", got)
	}
}

// TestNoInstance guards against a daemon without an instance that reports an idle one.
func TestNoInstance(t *testing.T) {
	s, _, reports := open(t, "127.0.0.1:0", 1)
	peer, c, _ := open(t, "127.0.0.1:0", 41)
	load, _ := peer.Load()
	load.Limit = 0
	var out [answerSize]byte
	empty := &Socket{Load: func() (request.Load, uint64) { return load, 41 }, conn: peer.conn, Count: c.add}
	var b [probeSize]byte
	nonce, _ := s.register("a7", peer.Addr(), time.Now())
	encodeProbe(&b, nonce)
	empty.handle(b[:], s.Addr(), &out)
	s.Probe("a8", peer.Addr(), time.Now())
	if got := receive(t, reports).name; got != "a8" {
		t.Errorf("got a report for %q, want none", got)
	}
}

// BenchmarkProbe measures one probe and its answer, on both sides.
func BenchmarkProbe(b *testing.B) {
	reports := make(chan struct{}, 1)
	newSocket := func() *Socket {
		s := &Socket{
			Load:     func() (request.Load, uint64) { return testLoad, 1 },
			Answered: func(string, request.Load, uint64, time.Time) { reports <- struct{}{} },
			Count:    func(string, int64) {},
		}
		if err := s.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			b.Fatal(err)
		}
		go s.Serve()
		return s
	}
	s, peer := newSocket(), newSocket()
	defer func() { _, _ = s.Close(), peer.Close() }()
	to := peer.Addr()
	b.ReportAllocs()
	for b.Loop() {
		s.Probe("a7", to, time.Now())
		<-reports
	}
}
