package usage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestCollection guards against counts that are wrong when messages are repeated and
// reordered, when a host is started again, and when a request is taken back after it was
// sent. The load is 40 hosts, each 3 processes of 200 requests of 9 tenants.
func TestCollection(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 7))
	type message struct {
		host Host
		seq  uint64
		list []WindowCounts
	}
	var messages []message
	want := make(map[int64]map[string]int64)
	for h := range 40 {
		for process := range uint64(3) {
			var c Counter
			for range 200 {
				window, tenant := rnd.Int64N(3)+1, fmt.Sprint("t-", rnd.IntN(9))
				c.Add(window, tenant, 1)
				if rnd.IntN(4) == 0 {
					messages = append(messages, message{host: Host{fmt.Sprint("h-", h), process}})
					m := &messages[len(messages)-1]
					m.list, m.seq = c.Since(0)
				}
				if rnd.IntN(3) == 0 {
					c.Add(window, tenant, -1)
					continue
				}
				if want[window] == nil {
					want[window] = make(map[string]int64)
				}
				want[window][tenant]++
			}
			list, seq := c.Since(0)
			messages = append(messages, message{Host{fmt.Sprint("h-", h), process}, seq, list})
		}
	}
	messages = append(messages, slices.Clone(messages)...)
	rnd.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	var c Collection
	for _, m := range messages {
		if n := c.Merge(m.host, m.seq, m.list); n > 0 {
			t.Fatalf("%d counts had no room", n)
		}
	}
	for window, counts := range want {
		if got := c.Sum(window); !maps.Equal(got, counts) {
			t.Errorf("window %d: got %v, want %v", window, got, counts)
		}
	}
	c.Forget(2)
	if w, ok := c.First(); !ok || w != 2 || len(c.Sum(1)) > 0 {
		t.Errorf("got first window %d after windows before 2 were dropped", w)
	}
	c.Forget(100)
	if c.totals != 0 {
		t.Errorf("got %d totals in an empty collection", c.totals)
	}
}

// TestCollectionBounds guards against a host whose tenants take up the memory of the
// daemons that collect counts.
func TestCollectionBounds(t *testing.T) {
	var c Collection
	dropped := 0
	for h := range 40 {
		w := WindowCounts{Window: int64(h), Counts: make(map[string]int64)}
		for i := range 2 * maxTenants {
			w.Counts[fmt.Sprint("t-", i)] = 1
		}
		dropped += c.Merge(Host{Name: fmt.Sprint("h-", h)}, 1, []WindowCounts{w})
	}
	if c.totals > maxTotals || len(c.tenants) > maxTenants || dropped == 0 {
		t.Errorf("got %d totals of %d tenants and %d dropped, want at most %d and %d", c.totals, len(c.tenants), dropped, maxTotals, maxTenants)
	}
}

// TestSince guards against messages that repeat what a receiver has, and against a change
// that it never gets.
func TestSince(t *testing.T) {
	var c Counter
	c.Add(1, "a", 1)
	c.Add(2, "b", 1)
	_, seq := c.Since(0)
	if list, _ := c.Since(seq); len(list) > 0 {
		t.Errorf("got %v without a change", list)
	}
	c.Add(1, "a", -1)
	list, _ := c.Since(seq)
	if len(list) != 1 || list[0].Window != 1 || !maps.Equal(list[0].Counts, map[string]int64{"a": 0}) {
		t.Errorf("got %v, want the count that was taken back", list)
	}
}

// TestClock guards against a true time that follows a clock that jumps: that of the daemon
// itself, or those of a minority of its peers.
func TestClock(t *testing.T) {
	var c Clock
	now := epoch
	skew := time.Duration(0)
	wall := func() time.Time { return now.Add(skew) }
	for step := range 200 {
		now = now.Add(time.Second)
		if step == 50 {
			skew = 5 * time.Second
		}
		for i := range 9 {
			peerSkew := time.Duration(i-4) * 10 * time.Millisecond
			if i < 4 && step > 100 {
				peerSkew = -5 * time.Second
			}
			c.Observe(fmt.Sprint("p-", i), now, now.Add(peerSkew))
		}
		if off := c.Time(now, wall).Sub(now); off.Abs() > 50*time.Millisecond {
			t.Fatalf("step %d: got an error of %v", step, off)
		}
	}
	// A daemon that hears three peers alone uses their estimates, which rest on more clocks.
	var few Clock
	few.Observe("p-1", now, now.Add(5*time.Second))
	few.ObserveEstimate("p-1", now, now.Add(20*time.Millisecond), 40)
	few.ObserveEstimate("p-2", now, now.Add(5*time.Second), 2)
	few.ObserveEstimate("p-3", now, now.Add(10*time.Millisecond), 41)
	if off := few.Time(now, wall).Sub(now); off.Abs() > 50*time.Millisecond {
		t.Errorf("got an error of %v from estimates", off)
	}
}

// TestClockAfterPause guards against a true time that falls back by the length of a pause,
// since the messages of all peers have waited until the process went on.
func TestClockAfterPause(t *testing.T) {
	var c Clock
	now := epoch
	for range 20 {
		now = now.Add(time.Second)
		for i := range 5 {
			c.Observe(fmt.Sprint("p-", i), now, now)
		}
	}
	sent := now.Add(time.Second)
	now = now.Add(4 * time.Second)
	for i := range 5 {
		c.Observe(fmt.Sprint("p-", i), now, sent)
	}
	if off := c.Time(now, func() time.Time { return now }).Sub(now); off.Abs() > 50*time.Millisecond {
		t.Errorf("got an error of %v after messages that had waited for 3 s", off)
	}
	// A clock that was set back is followed in the end.
	for range 20 {
		now = now.Add(time.Second)
		for i := range 5 {
			c.Observe(fmt.Sprint("p-", i), now, now.Add(-time.Second))
		}
	}
	if off := c.Time(now, func() time.Time { return now }).Sub(now); (off + time.Second).Abs() > 50*time.Millisecond {
		t.Errorf("got an offset of %v though all clocks were set back by 1 s", off)
	}
}

// TestReporterForgets guards against memory that grows with each window whose report was in
// flight when it was given up, as when the usage service does not answer for hours.
func TestReporterForgets(t *testing.T) {
	var r reporter
	now := epoch
	for id := range int64(100) {
		now = now.Add(retryMax)
		if _, _, ok := r.start(now, []WindowCounts{{Window: id}}); !ok {
			t.Fatalf("window %d is not sent", id)
		}
		// The window is given up before the answer.
		r.start(now, nil)
		r.done(now, id, false, 0)
	}
	r.start(now, nil)
	if got, want := len(r.tries), 0; got != want {
		t.Errorf("got %d windows that are kept, want %d", got, want)
	}
}

// TestReporter guards against two reports of a window in flight, against repeats without a
// pause, and against more reports than the service takes.
func TestReporter(t *testing.T) {
	r := reporter{perSecond: 10}
	var pending []WindowCounts
	for id := range int64(30) {
		pending = append(pending, WindowCounts{Window: id})
	}
	last := make(map[int64]time.Time)
	inFlight := make(map[int64]bool)
	sent := 0
	const seconds = 20
	for now := epoch; now.Before(epoch.Add(seconds * time.Second)); now = now.Add(5 * time.Millisecond) {
		for {
			w, at, ok := r.start(now, pending)
			if !ok {
				if len(inFlight) < maxSends && !at.After(now) {
					t.Fatal("nothing is due at any time")
				}
				break
			}
			if inFlight[w.Window] {
				t.Fatalf("window %d is in flight twice", w.Window)
			}
			if since := now.Sub(last[w.Window]); !last[w.Window].IsZero() && since < retryMin {
				t.Fatalf("window %d is repeated after %v", w.Window, since)
			}
			inFlight[w.Window] = true
			sent++
		}
		for id := range inFlight {
			r.done(now, id, false, 0.5)
			last[id] = now
			delete(inFlight, id)
			break
		}
	}
	if sent > seconds*10 || sent < seconds*5 {
		t.Errorf("sent %d reports in %d s, want about 8 a second and at most 10", sent, seconds)
	}
}

// TestMerge guards against a settled window that becomes pending again, and against other
// counts of a pending one, in whatever order the records are known.
func TestMerge(t *testing.T) {
	w := func(id, n int64) WindowCounts { return WindowCounts{Window: id, Counts: map[string]int64{"t": n}} }
	older := Reports{UpTo: 12, Pending: []WindowCounts{w(10, 1), w(12, 2)}}
	newer := Reports{UpTo: 13, Pending: []WindowCounts{w(12, 2), w(13, 3)}}
	for _, got := range []Reports{older.Merge(newer), newer.Merge(older)} {
		if got.UpTo != 13 || len(got.Pending) != 2 || got.Pending[0].Window != 12 || got.Pending[1].Window != 13 {
			t.Errorf("got %+v, want 12 and 13 pending", got)
		}
	}
	if got := older.Merge(Reports{UpTo: 12, Pending: []WindowCounts{w(12, 9)}}); got.Pending[0].Counts["t"] != 2 {
		t.Errorf("got %+v, want the counts known before", got)
	}
}
