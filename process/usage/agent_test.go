package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuppitch/kingcuppitch/platform/standin"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/process/metrics"
)

const testWindow = 5 * time.Second

// mesh runs agents in one process, with a store and a usage service. The load is 200
// requests a second of 20 tenants at each host.
type mesh struct {
	mu     sync.Mutex
	store  modelStore
	agents map[string]*testAgent
	// storeFault returns an error for a call of a daemon, and whether it takes effect.
	storeFault func(name string, write bool) (err error, effect bool) //nolint:revive // the error comes first
	calls      int
	service    standin.UsageService
	// slow is the time of the usage service for an answer.
	slow time.Duration
	// truth holds the requests by window and tenant, and byHost those of each daemon.
	truth  map[int64]map[string]int64
	byHost map[string]map[int64]int64
	// written holds the counts of windows that are on the topic.
	written map[int64]map[string]int64
	// early holds the windows that were reported before they were on the topic.
	early []int64
	next  uint64
	stop  context.CancelFunc
	ctx   context.Context
	wg    sync.WaitGroup
}

// testAgent is the agent of a daemon, with its clock and its view of the others.
type testAgent struct {
	*Agent
	m    *mesh
	name string
	mu   sync.Mutex
	// skew is the error of the clock of the daemon.
	skew    time.Duration
	metrics *metrics.Set
	// frozen blocks what the daemon does beyond its process while it is set.
	frozen chan struct{}
	dead   bool
	// cut means that the daemon does not reach the usage service.
	cut bool
	// left means that the daemon has told the others that it leaves.
	left bool
	// blind makes the daemon know only itself, and lacks makes it not know one daemon.
	blind bool
	lacks string
	// pauseInSend freezes the daemon for this time when it has decided to send a report.
	pauseInSend time.Duration
}

func newMesh(names ...string) *mesh {
	m := &mesh{agents: make(map[string]*testAgent), truth: make(map[int64]map[string]int64), byHost: make(map[string]map[int64]int64), written: make(map[int64]map[string]int64)}
	m.store.era = 1
	m.service.Lease = testLease
	m.ctx, m.stop = context.WithCancel(context.Background())
	for _, name := range names {
		m.start(name)
	}
	return m
}

// start starts the agent of a daemon, or starts it again as a new process.
func (m *mesh) start(name string) *testAgent { return m.startSkewed(name, 0) }

// startSkewed is start with an error of the daemon's clock.
func (m *mesh) startSkewed(name string, skew time.Duration) *testAgent {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	ta := &testAgent{m: m, name: name, metrics: new(metrics.Set), skew: skew}
	ta.Agent = New(Config{
		Name: name, Incarnation: m.next, Window: testWindow, Lease: testLease, Due: 10 * time.Second, PerSecond: 50,
	}, ta, ta, ta, WithPeers(ta), WithMetrics(ta.metrics), WithClocks(func() time.Time { return time.Now().Round(0) }, ta.time))
	m.agents[name] = ta
	ta.Start()
	m.wg.Go(func() { ta.traffic(ta.ctx) })
	return ta
}

func (ta *testAgent) time() time.Time {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return time.Now().Add(ta.skew)
}

// traffic counts requests, of which each tenth is taken back shortly after.
func (ta *testAgent) traffic(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		ta.wait(ctx)
		tenant := fmt.Sprint("t-", i%20)
		id := ta.Count(tenant)
		true64 := time.Now().UnixNano() / int64(testWindow)
		time.Sleep(5 * time.Millisecond)
		if i%10 == 0 {
			ta.TakeBack(tenant, id)
			continue
		}
		ta.m.mu.Lock()
		if ta.m.byHost[ta.name] == nil {
			ta.m.byHost[ta.name] = make(map[int64]int64)
		}
		ta.m.byHost[ta.name][true64]++
		if ta.m.truth[true64] == nil {
			ta.m.truth[true64] = make(map[string]int64)
		}
		ta.m.truth[true64][tenant]++
		ta.m.mu.Unlock()
	}
}

// kill ends the process of an agent without a word.
func (ta *testAgent) kill() {
	ta.mu.Lock()
	ta.dead = true
	ta.mu.Unlock()
	ta.cancel()
}

// wait blocks while the daemon is frozen.
func (ta *testAgent) wait(ctx context.Context) {
	ta.mu.Lock()
	ch := ta.frozen
	ta.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case <-ch:
	case <-ctx.Done():
	}
}

// freeze pauses what the daemon sends for some time.
func (ta *testAgent) freeze(d time.Duration) {
	ch := make(chan struct{})
	ta.mu.Lock()
	ta.frozen = ch
	ta.mu.Unlock()
	time.AfterFunc(d, func() {
		ta.mu.Lock()
		ta.frozen = nil
		ta.mu.Unlock()
		close(ch)
	})
}

// Members implements Fleet. A dead member is known as such.
func (ta *testAgent) Members() []membership.Member {
	ta.mu.Lock()
	blind, lacks := ta.blind, ta.lacks
	ta.mu.Unlock()
	ta.m.mu.Lock()
	defer ta.m.mu.Unlock()
	var list []membership.Member
	for name, other := range ta.m.agents {
		other.mu.Lock()
		if !other.dead && (!blind || other == ta) && name != lacks {
			state := membership.Ready
			if other.left {
				state = membership.Leaving
			}
			list = append(list, membership.Member{Name: name, Peer: peerAddr(name), State: state})
		}
		other.mu.Unlock()
	}
	return list
}

func peerAddr(name string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 1)
}

// Exchange implements Peers.
func (ta *testAgent) Exchange(ctx context.Context, addr netip.AddrPort, msg Message) (reply Reply, err error) {
	ta.wait(context.Background())
	time.Sleep(2 * time.Millisecond)
	ta.m.mu.Lock()
	to := ta.m.agents[string(rune(addr.Addr().As4()[3]))]
	ta.m.mu.Unlock()
	to.mu.Lock()
	dead := to.dead
	to.mu.Unlock()
	if dead {
		return reply, errors.New("no answer")
	}
	if to.wait(ctx); ctx.Err() != nil {
		return reply, ctx.Err()
	}
	data, _ := json.Marshal(msg)
	var copied Message
	if err := json.Unmarshal(data, &copied); err != nil {
		return reply, err
	}
	reply = to.receive(ctx, copied)
	time.Sleep(2 * time.Millisecond)
	return reply, nil
}

// Close implements Peers.
func (ta *testAgent) Close() {}

func (ta *testAgent) storeCall(write bool, f func() error) error {
	ta.wait(context.Background())
	time.Sleep(4 * time.Millisecond)
	ta.m.mu.Lock()
	ta.m.calls++
	fault, effect := error(nil), true
	if ta.m.storeFault != nil {
		fault, effect = ta.m.storeFault(ta.name, write)
	}
	err := fault
	if effect {
		if own := f(); fault == nil {
			err = own
		}
	}
	ta.m.mu.Unlock()
	ta.wait(context.Background())
	return err
}

// Newest implements Topic.
func (ta *testAgent) Newest(context.Context) (n Newest, err error) {
	err = ta.storeCall(false, func() error {
		n = ta.m.store.newest()
		return nil
	})
	return n, err
}

// Append implements Topic.
func (ta *testAgent) Append(_ context.Context, at Position, data []byte) error {
	return ta.storeCall(true, func() error {
		err := ta.m.store.append(at, data)
		var rec Record
		if err == nil && json.Unmarshal(data, &rec) == nil {
			for _, w := range rec.Reports.Pending {
				ta.m.written[w.Window] = w.Counts
			}
		}
		return err
	})
}

// Send implements Service.
func (ta *testAgent) Send(ctx context.Context, r Report) error {
	time.Sleep(time.Millisecond)
	ta.mu.Lock()
	pause := ta.pauseInSend
	ta.pauseInSend = 0
	ta.mu.Unlock()
	if pause > 0 {
		ta.freeze(pause)
	}
	ta.wait(context.Background())
	if r.Left() <= 0 {
		return ErrNotAllowed
	}
	if err := ta.Reach(ctx); err != nil {
		return errors.Join(ErrNotWritten, err)
	}
	if ta.ctx.Err() != nil {
		return errors.New("the process is gone")
	}
	status := ta.m.service.Report(r.Holder, r.Token, r.Window, r.Counts)
	ta.m.mu.Lock()
	if w, ok := ta.m.written[r.Window]; !ok || !maps.Equal(w, r.Counts) {
		ta.m.early = append(ta.m.early, r.Window)
	}
	slow := ta.m.slow
	ta.m.mu.Unlock()
	select {
	case <-time.After(slow):
	case <-ctx.Done():
		return ctx.Err()
	}
	switch status {
	case -1:
		return errors.New("no answer")
	case http.StatusOK:
		return nil
	default:
		return &RefusedError{status}
	}
}

// Reach implements Service.
func (ta *testAgent) Reach(context.Context) error {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.cut {
		return errors.New("no route to the usage service")
	}
	return nil
}

// holder returns the agent that may act, or nil.
func (m *mesh) holder() (found *testAgent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ta := range m.agents {
		if g := ta.grant.Load(); ta.ctx.Err() == nil && g != nil && g.Allows(g.Token, time.Now().Round(0)) {
			found = ta
		}
	}
	return found
}

// awaitHolder waits until a daemon other than the given one may act.
func (m *mesh) awaitHolder(t *testing.T, other *testAgent) *testAgent {
	t.Helper()
	for range 600 {
		if h := m.holder(); h != nil && h != other {
			return h
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("no daemon has acquired the lease in 30 s")
	return nil
}

// close stops all agents.
func (m *mesh) close() {
	m.mu.Lock()
	agents := m.agents
	m.mu.Unlock()
	for _, ta := range agents {
		ta.kill()
	}
	m.wg.Wait()
	for _, ta := range agents {
		ta.wg.Wait()
	}
}

// check checks the rules, and that windows from first to last are reported by the time
// that they are due, within a share of the true counts.
func (m *mesh) check(t *testing.T, first, last int64, lossShare float64, onTime bool) {
	t.Helper()
	for _, text := range m.service.Broken() {
		t.Error(text)
	}
	accepted, _ := m.service.Accepted()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.early) > 0 {
		t.Errorf("windows %v were reported before their counts were written", m.early)
	}
	for id := first; id <= last; id++ {
		r, ok := accepted[id]
		if !ok {
			t.Errorf("window %d was not reported", id)
			continue
		}
		end := windows{testWindow}.end(id)
		if late := r.At.Sub(end); onTime && late > 10*time.Second {
			t.Errorf("window %d was reported %v after its end, want at most 10 s", id, late)
		}
		if r.At.Sub(end) < 2*time.Second {
			t.Errorf("window %d was reported %v after its end, before its counts are complete", id, r.At.Sub(end))
		}
		for tenant, want := range m.truth[id] {
			if got := r.Counts[tenant]; math.Abs(float64(got-want)) > lossShare*float64(want) {
				t.Errorf("window %d: got %d requests of %s, want %d", id, got, tenant, want)
			}
		}
	}
}

func windowNow() int64 { return windows{testWindow}.at(time.Now()) }

// runMesh runs five daemons for some time before and after the faults that f injects.
func runMesh(t *testing.T, lossShare float64, onTime bool, f func(t *testing.T, m *mesh)) {
	synctest.Test(t, func(t *testing.T) {
		first := windowNow() + 1
		m := newMesh("a", "b", "c", "d", "e")
		m.awaitHolder(t, nil)
		time.Sleep(3 * testWindow)
		f(t, m)
		time.Sleep(4 * testWindow)
		last := windowNow() - 3
		m.check(t, first, last, lossShare, onTime)
		m.close()
	})
}

// maxLoss is the share by which a report may differ from the true counts.
const maxLoss = 0.05

// TestReports guards against reports that are missing, late, wrong or sent by two holders
// under each fault alone.
func TestReports(t *testing.T) {
	t.Run("no fault", func(t *testing.T) {
		runMesh(t, 0.01, true, func(t *testing.T, m *mesh) {
			m.mu.Lock()
			before := m.calls
			m.mu.Unlock()
			time.Sleep(10 * testLease)
			m.mu.Lock()
			defer m.mu.Unlock()
			// Three renewals a lease, 10 windows in 10 leases, and the reads of two candidates.
			if got := m.calls - before; got > 30+6+10+5+3 {
				t.Errorf("got %d calls to the store in 10 leases", got)
			}
		})
	})
	t.Run("holder paused between check and send", func(t *testing.T) {
		// A window is lost at most in time, not at all.
		runMesh(t, maxLoss, false, func(t *testing.T, m *mesh) {
			for range 3 {
				h := m.awaitHolder(t, nil)
				h.mu.Lock()
				h.pauseInSend = 3 * testLease
				h.mu.Unlock()
				m.awaitHolder(t, h)
				time.Sleep(4 * testLease)
			}
		})
	})
	t.Run("answers of the service lost, 429 and slow", func(t *testing.T) {
		runMesh(t, maxLoss, false, func(t *testing.T, m *mesh) {
			n := 0
			m.service.SetFault(func() int {
				n++
				return []int{-1, http.StatusTooManyRequests, -1, http.StatusServiceUnavailable, 0}[n%5]
			})
			time.Sleep(6 * testWindow)
			h := m.holder()
			h.kill() // the next one repeats the report that it has not seen accepted
			m.awaitHolder(t, h)
			time.Sleep(6 * testWindow)
			m.service.SetFault(nil)
			if _, repeats := m.service.Accepted(); repeats == 0 {
				t.Error("got no repeated report")
			}
		})
	})
	t.Run("service slower than the wait for its answer", func(t *testing.T) {
		runMesh(t, maxLoss, true, func(t *testing.T, m *mesh) {
			m.mu.Lock()
			m.slow = sendTimeout + time.Second
			m.mu.Unlock()
			time.Sleep(6 * testWindow)
			m.mu.Lock()
			m.slow = 0
			m.mu.Unlock()
		})
	})
	t.Run("service out of reach of the holder", func(t *testing.T) {
		runMesh(t, maxLoss, true, func(t *testing.T, m *mesh) {
			h := m.holder()
			h.mu.Lock()
			h.cut = true
			h.mu.Unlock()
			time.Sleep(6 * testWindow)
		})
	})
	t.Run("service out of reach of all", func(t *testing.T) {
		runMesh(t, maxLoss, false, func(t *testing.T, m *mesh) {
			cut := func(on bool) {
				for _, ta := range m.agents {
					ta.mu.Lock()
					ta.cut = on
					ta.mu.Unlock()
				}
			}
			cut(true)
			h := m.holder()
			time.Sleep(4 * testWindow)
			if m.holder() != h {
				t.Error("the lease moved though nobody reaches the service")
			}
			cut(false)
		})
	})
	t.Run("store down", func(t *testing.T) {
		runMesh(t, maxLoss, false, func(t *testing.T, m *mesh) {
			m.mu.Lock()
			m.storeFault = func(string, bool) (error, bool) { return ErrNotWritten, false }
			m.mu.Unlock()
			time.Sleep(4 * testLease)
			if h := m.holder(); h != nil {
				t.Errorf("%s acts though the store has been down for four leases", h.name)
			}
			m.mu.Lock()
			m.storeFault = nil
			m.mu.Unlock()
		})
	})
	t.Run("answers of the store lost", func(t *testing.T) {
		runMesh(t, maxLoss, false, func(t *testing.T, m *mesh) {
			n := 0
			m.mu.Lock()
			m.storeFault = func(string, bool) (error, bool) {
				if n++; n%3 == 0 {
					return errors.New("no answer"), n%2 == 0
				}
				return nil, true
			}
			m.mu.Unlock()
			time.Sleep(20 * testLease)
			m.mu.Lock()
			m.storeFault = nil
			m.mu.Unlock()
		})
	})
	t.Run("store restored", func(t *testing.T) {
		runMesh(t, maxLoss, true, func(t *testing.T, m *mesh) {
			m.mu.Lock()
			older := append([][]byte(nil), m.store.records...)
			m.mu.Unlock()
			time.Sleep(3 * testLease)
			m.mu.Lock()
			m.store.era, m.store.records = m.store.era+1, older
			m.mu.Unlock()
			time.Sleep(3 * testLease)
		})
	})
	t.Run("holder killed between writing and sending", func(t *testing.T) {
		runMesh(t, maxLoss, true, func(t *testing.T, m *mesh) {
			h := m.holder()
			for {
				var rec Record
				m.mu.Lock()
				_ = json.Unmarshal(m.store.newest().Data, &rec)
				m.mu.Unlock()
				if len(rec.Reports.Pending) > 0 {
					break
				}
				m.service.SetFault(func() int { return http.StatusServiceUnavailable })
				time.Sleep(time.Millisecond)
			}
			h.kill()
			m.service.SetFault(nil)
			m.awaitHolder(t, h)
		})
	})
	t.Run("hosts restart", func(t *testing.T) {
		// What a killed process has counted in its last second is lost: a fifth of the
		// window of one host of five, for two of them.
		runMesh(t, maxLoss, true, func(t *testing.T, m *mesh) {
			h := m.holder()
			for name, ta := range m.agents {
				if ta == h {
					continue
				}
				ta.kill()
				m.start(name)
				time.Sleep(testWindow)
			}
		})
	})
	t.Run("hosts restart with wrong clocks", func(t *testing.T) {
		runMesh(t, maxLoss, true, func(t *testing.T, m *mesh) {
			h := m.holder()
			for name, ta := range m.agents {
				if ta != h {
					ta.kill()
					m.startSkewed(name, -7*time.Second)
					time.Sleep(10 * testWindow)
					m.agents[name].mu.Lock()
					m.agents[name].skew = 0
					m.agents[name].mu.Unlock()
				}
			}
		})
	})
	t.Run("all daemons that collect restart", func(t *testing.T) {
		// What they have counted themselves is lost, and no rule is about that.
		runMesh(t, 1, false, func(t *testing.T, m *mesh) {
			// The counts of the window that has just ended do not change any more.
			time.Sleep(time.Until(windows{testWindow}.end(windowNow())) + testWindow/5)
			id := windowNow() - 1
			all := m.agents["a"].Members()
			lost := make(map[string]bool)
			for _, c := range candidates(all) {
				lost[c.Name] = true
				m.agents[c.Name].kill()
				m.start(c.Name)
			}
			time.Sleep(5 * testWindow)
			accepted, _ := m.service.Accepted()
			var got, want int64
			for _, n := range accepted[id].Counts {
				got += n
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			for name, counts := range m.byHost {
				if !lost[name] {
					want += counts[id]
				}
			}
			if len(lost) != maxCandidates || float64(got) < (1-maxLoss)*float64(want) {
				t.Errorf("got %d requests in window %d, want at least the %d of the hosts that went on", got, id, want)
			}
		})
	})
	t.Run("next holder was taken for gone", func(t *testing.T) {
		// The holder dies before the next one, which it did not know, has its counts.
		runMesh(t, maxLoss, true, func(t *testing.T, m *mesh) {
			h := m.holder()
			list := candidates(h.Members())
			next := list[0].Name
			if next == h.name {
				next = list[1].Name
			}
			var host *testAgent
			for _, ta := range m.agents {
				if ta != h && ta.name != next {
					host = ta
				}
			}
			host.mu.Lock()
			host.lacks = next
			host.mu.Unlock()
			// Both die when the counts of a window have been sent and are not reported.
			time.Sleep(time.Until(windows{testWindow}.end(windowNow())) + 1400*time.Millisecond)
			host.kill()
			h.kill()
			m.awaitHolder(t, h)
		})
	})
	t.Run("graceful stop", func(t *testing.T) {
		runMesh(t, 0.01, true, func(t *testing.T, m *mesh) {
			for range 3 {
				h := m.holder()
				h.Leave(context.Background())
				h.mu.Lock()
				h.left = true
				h.mu.Unlock()
				began := time.Now()
				m.awaitHolder(t, h)
				if took := time.Since(began); took > testLease/2 {
					t.Errorf("the next daemon acts %v after the lease was given back", took)
				}
				time.Sleep(testWindow)
			}
		})
	})
	t.Run("clock steps", func(t *testing.T) {
		runMesh(t, 0.02, true, func(t *testing.T, m *mesh) {
			for i, name := range []string{"a", "c"} {
				m.agents[name].mu.Lock()
				m.agents[name].skew = []time.Duration{5 * time.Second, -5 * time.Second}[i]
				m.agents[name].mu.Unlock()
				time.Sleep(3*testWindow + 1700*time.Millisecond)
			}
			m.agents["a"].mu.Lock()
			m.agents["a"].skew = 0
			m.agents["a"].mu.Unlock()
			h := m.holder()
			h.mu.Lock()
			h.skew = 5 * time.Second
			h.mu.Unlock()
			time.Sleep(3 * testWindow)
		})
	})
}

// TestTwoCandidates guards against two daemons that both acquire the lease when they start
// at the same time and know different members, so that each takes itself for the first.
func TestTwoCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh("a", "b")
		for _, ta := range m.agents {
			ta.mu.Lock()
			ta.blind = true
			ta.mu.Unlock()
		}
		for range 400 {
			acting := 0
			for _, ta := range m.agents {
				if g := ta.grant.Load(); g != nil && g.Allows(g.Token, time.Now().Round(0)) {
					acting++
				}
			}
			if acting > 1 {
				t.Fatal("two daemons hold the lease")
			}
			time.Sleep(50 * time.Millisecond)
		}
		if m.holder() == nil {
			t.Error("nobody holds the lease")
		}
		for _, text := range m.service.Broken() {
			t.Error(text)
		}
		m.close()
	})
}

// TestCandidates guards against candidates that cannot collect, since they leave or do not
// answer, and against ones that do not reach the store while others do.
func TestCandidates(t *testing.T) {
	var members []membership.Member
	for i := range 40 {
		m := membership.Member{Name: fmt.Sprint("d-", i), Peer: peerAddr("a"), State: membership.Ready}
		switch i % 4 {
		case 0:
			m.State = membership.Suspect
		case 1:
			m.State = membership.Leaving
		case 2:
			m.LogUnreachable = true
		}
		members = append(members, m)
	}
	list := candidates(members)
	if len(list) != maxCandidates {
		t.Fatalf("got %d candidates, want %d", len(list), maxCandidates)
	}
	for i := range members {
		members[i].LogUnreachable = true
	}
	if got := len(candidates(members)); got != maxCandidates {
		t.Errorf("got %d candidates while the store is down, want %d", got, maxCandidates)
	}
	names := make([]string, 0, maxCandidates)
	for _, m := range list {
		if m.State != membership.Ready || m.LogUnreachable {
			t.Errorf("got candidate %+v", m)
		}
		names = append(names, m.Name)
	}
	if got := turnOf(names[2], names[0], list); got != (Turn{Candidate: true, Rank: 1}) {
		t.Errorf("got %+v for the third of %s beside the holder, want the second", got, strings.Join(names, ", "))
	}
}
