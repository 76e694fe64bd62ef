package control

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

// readEnd returns a message about a read of a reader that found the log at an offset.
func readEnd(reader string, number uint64, offset int64, age time.Duration) *wirev1.LogEnd {
	return &wirev1.LogEnd{Offset: offset, AgeMs: age.Milliseconds(), Reader: reader, Incarnation: 1, Read: number}
}

// servingCore returns a daemon of a zone of n that serves at offset 2 and is not the
// reader of its zone.
func servingCore(t *testing.T, n int) *core {
	t.Helper()
	var members []membership.Member
	for i := range n {
		members = append(members, testMember(fmt.Sprint("d", i), "a"))
	}
	for _, m := range members {
		c := platformCore(m.Name, "a")
		c.table.Merge(epoch, members)
		if c.isReader() {
			continue
		}
		startTimed(t, c, epoch)
		return c
	}
	t.Fatal("all daemons are readers")
	return nil
}

// TestLogEndHeard guards against a daemon that relies on peers although none of them has
// heard of a recent read of the log, and against needless reads of the log.
func TestLogEndHeard(t *testing.T) {
	const last = 1200 * time.Millisecond // the last message before the check
	for _, tt := range []struct {
		name    string
		hear    func(c *core)
		overdue bool
	}{
		{"nothing", func(*core) {}, true},
		{"contact alone", func(c *core) {
			c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(testMember("d9", "a")), Offset: 2}}, epoch.Add(last), 0)
		}, true},
		{"a recent read", func(c *core) { c.hearLogEnd(epoch.Add(last), readEnd("d9", 1, 2, 0)) }, false},
		{"an old read", func(c *core) { c.hearLogEnd(epoch.Add(last), readEnd("d9", 1, 2, time.Second)) }, true},
		{"a read of an earlier end", func(c *core) { c.hearLogEnd(epoch.Add(last), readEnd("d9", 1, 1, 0)) }, false},
		{"a read of an end that it has not reached", func(c *core) { c.hearLogEnd(epoch.Add(last), readEnd("d9", 1, 7, 0)) }, true},
		{"its own read", func(c *core) { c.hearLogEnd(epoch.Add(last), readEnd(c.table.Self().Name, 9, 2, 0)) }, true},
		{"an age out of range", func(c *core) {
			c.hearLogEnd(epoch.Add(last), &wirev1.LogEnd{Offset: 2, AgeMs: math.MaxInt64, Reader: "d9", Read: 1})
		}, true},
		{"the same read again and again", func(c *core) {
			for at := 100 * time.Millisecond; at <= last; at += 100 * time.Millisecond {
				c.hearLogEnd(epoch.Add(at), readEnd("d9", 1, 2, 0))
			}
		}, true},
		{"a read of an era that is over", func(c *core) {
			c.replaceState(&fold.State{Offset: 1_000_000_000_002, Moves: c.state.Moves})
			c.hearLogEnd(epoch.Add(last), readEnd("d9", 1, 7, 0))
		}, true},
		{"another read each time", func(c *core) {
			for i := range 12 {
				c.hearLogEnd(epoch.Add(time.Duration(i+1)*100*time.Millisecond), readEnd("d9", uint64(i), 2, 0))
			}
		}, false},
		{"a reader that has restarted", func(c *core) {
			c.hearLogEnd(epoch.Add(100*time.Millisecond), readEnd("d9", 50, 2, 0))
			end := readEnd("d9", 1, 2, 0)
			end.Incarnation = 2
			c.hearLogEnd(epoch.Add(last), end)
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := servingCore(t, 4)
			tt.hear(c)
			_, actions := c.handle(flush{}, epoch.Add(1800*time.Millisecond), 0)
			if got := c.readsLog(); got != tt.overdue {
				t.Errorf("got reading the log %t, want %t", got, tt.overdue)
			}
			if got := len(find[readLog](actions)) > 0; got != tt.overdue {
				t.Errorf("got a read at once %t, want %t", got, tt.overdue)
			}
		})
	}
}

// TestLogEndEndsOwnReads guards against a daemon that goes on reading the log after it
// has peers that read it again.
func TestLogEndEndsOwnReads(t *testing.T) {
	c := servingCore(t, 4)
	now := epoch.Add(3 * time.Second)
	c.handle(flush{}, now, 0)
	c.handle(recordsArrived{first: 1, next: 3, asked: now}, now, 0)
	if !c.readsLog() {
		t.Error("after an own read: got not reading the log, want reading until a peer does")
	}
	c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(testMember("d9", "a")), Offset: 2, LogEnd: readEnd("d9", 1, 2, 0)}}, now.Add(time.Second), 0)
	if c.readsLog() {
		t.Error("after a read of a peer: got reading the log, want not")
	}
}

// TestLogUnreachableHeard guards against a whole zone that calls a log which is down: its
// members learn that one of them cannot read it, and wait for the next one.
func TestLogUnreachableHeard(t *testing.T) {
	c := servingCore(t, 4)
	c.hearLogEnd(epoch.Add(time.Second), readEnd("d9", 1, 2, 0))
	failed := testMember("d9", "a")
	failed.LogUnreachable = true
	c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(failed)}}, epoch.Add(1500*time.Millisecond), 0)
	if c.handle(flush{}, epoch.Add(3*time.Second), 0); c.readsLog() {
		t.Error("2 s after the last read: got reading the log, want waiting for the next reader")
	}
	c.handle(exchangeReceived{&wirev1.ExchangeRequest{From: toWire(failed)}}, epoch.Add(3400*time.Millisecond), 0)
	if c.handle(flush{}, epoch.Add(3600*time.Millisecond), 0); !c.readsLog() {
		t.Error("2.6 s after the last read: got not reading the log, want reading")
	}
}

// TestLogEndReachesZone guards against members of a zone that are not told of a read, and
// against a read that is told more often than once to each.
func TestLogEndReachesZone(t *testing.T) {
	for _, n := range []int{2, 5, 28, 100} {
		cores := make(map[string]*core)
		var members []membership.Member
		for i := range n {
			members = append(members, testMember(fmt.Sprint("d", i), "a"))
		}
		reader := ""
		for _, m := range members {
			cores[m.Name] = platformCore(m.Name, "a")
			cores[m.Name].table.Merge(epoch, members)
			if cores[m.Name].isReader() {
				reader = m.Name
			}
		}
		told := make(map[string]int)
		var deliver func(actions []any)
		deliver = func(actions []any) {
			sends := find[sendExchange](actions)
			if len(sends) > logEndFanout {
				t.Errorf("%d daemons: got %d messages at once, want %d at most", n, len(sends), logEndFanout)
			}
			for _, a := range sends {
				told[a.to.Name]++
				_, next := cores[a.to.Name].handle(exchangeReceived{a.req}, epoch, 0.3)
				deliver(next)
			}
		}
		_, actions := cores[reader].handle(recordsArrived{first: 1, next: 1, asked: epoch}, epoch, 0.7)
		deliver(actions)
		for _, m := range members {
			want := 1
			if m.Name == reader {
				want = 0
			}
			if told[m.Name] != want {
				t.Errorf("%d daemons: %s was told %d times, want %d", n, m.Name, told[m.Name], want)
			}
		}
	}
}

// TestIsolatedDaemonReadsReports guards against a daemon that is cut off from its peers
// and goes on sending requests to a version that has been taken back, because the end of a
// move is told by peers alone.
func TestIsolatedDaemonReadsReports(t *testing.T) {
	c := servingCore(t, 4)
	now := epoch.Add(3 * time.Second)
	_, actions := c.handle(recordsArrived{first: 1, next: 3, asked: now}, now, 0)
	if n := len(find[readReports](actions)); n != 0 {
		t.Errorf("with peers that read the log: got %d reads of the reports, want none", n)
	}
	c.handle(flush{}, now, 0)
	_, actions = c.handle(recordsArrived{first: 1, next: 3, asked: now}, now, 0)
	if n := len(find[readReports](actions)); n != 1 {
		t.Errorf("without peers, while a move runs: got %d reads of the reports, want 1", n)
	}
	c.handle(reportsRead{[]Report{{Move: 2, Upstream: "booking", To: "v2", State: fold.MoveTakenBack, Reason: "errors"}}}, now, 0)
	if !c.state.IsWithdrawn("booking", "v2") {
		t.Errorf("got versions %+v, want v2 withdrawn", c.state.Versions["booking"])
	}
	_, actions = c.handle(recordsArrived{first: 1, next: 3, asked: now}, now, 0)
	if n := len(find[readReports](actions)); n != 0 {
		t.Errorf("after the end of the move: got %d reads of the reports, want none", n)
	}
}

// TestLogReachableAgain guards against a daemon that reports no end of a move and is passed
// over as reader long after an outage of the log, because peers tell it of their reads and
// it makes none of its own. A log that refuses this daemon alone is not called often.
func TestLogReachableAgain(t *testing.T) {
	c := servingCore(t, 4)
	now := epoch.Add(500 * time.Millisecond)
	read := uint64(10)
	// pass lets the time pass with reads of another daemon, and returns how often the
	// daemon has read the log.
	pass := func(d time.Duration, err error) (reads int) {
		for end := now.Add(d); now.Before(end); now = now.Add(tickPeriod) {
			read++
			c.hearLogEnd(now, readEnd("d9", read, 2, 0))
			_, actions := c.handle(tick{sinceBoot: now.Sub(epoch)}, now, 0.5)
			if len(find[readLog](actions)) == 0 {
				continue
			}
			reads++
			if err != nil {
				c.handle(logFailed{err}, now, 0.5)
			} else {
				c.handle(recordsArrived{first: 1, next: 3, asked: now}, now, 0.5)
			}
		}
		return reads
	}
	c.handle(logFailed{errors.New("outage")}, now, 0.5)
	if got := pass(time.Minute, errors.New("refused")); got < 3 || got > 12 {
		t.Errorf("got %d reads in a minute of a log that refuses this daemon, want 3 to 12", got)
	}
	if pass(time.Minute, nil); !c.logReachable || c.table.Self().LogUnreachable {
		t.Errorf("got reachable %t, told as unreachable %t, want true and false", c.logReachable, c.table.Self().LogUnreachable)
	}
	if got := pass(time.Minute, nil); got > 0 {
		t.Errorf("got %d reads in a minute after the log was reached, want none", got)
	}
	c.handle(logFailed{errors.New("outage")}, now, 0.5)
	if pass(stableAfter, nil); !c.logReachable {
		t.Errorf("the log is not reached %v after the end of a short outage", stableAfter)
	}
}

// waitingLog is a log without new records that notes how long its reads wait.
type waitingLog struct {
	log.Log
	waits chan time.Duration
}

func (l *waitingLog) Read(ctx context.Context, _ string, _ int64, until time.Time) (log.Page, error) {
	wait := time.Until(until)
	select {
	case l.waits <- wait:
	case <-ctx.Done():
	}
	return log.Page{First: 1, Next: 3}, nil
}

// TestFirstReadDoesNotWait guards against a whole zone that reads the log because its new
// reader tells of no read until the wait of its first one is over.
func TestFirstReadDoesNotWait(t *testing.T) {
	l := &waitingLog{waits: make(chan time.Duration)}
	c := New(WithSelf(testMember("d1", "a")), WithLog(l), WithCompactedLog()).(*control)
	defer c.Stop()
	if _, err := ask[int64](c, recordsArrived{entries: timedRecords(t), first: 1, next: 3, asked: time.Now()}); err != nil {
		t.Fatal(err)
	}
	c.loop(c.tailLoop)
	if got := <-l.waits; got > 0 {
		t.Errorf("the first read waits %v, want none", got)
	}
	if got, want := <-l.waits, pollPeriod(compactedApplyWithin); got <= 0 || got > want {
		t.Errorf("the second read waits %v, want up to %v", got, want)
	}
}

// goneLog is a restored log that answers each read with ErrExpired.
type goneLog struct {
	log.Log
	reads atomic.Int64
}

func (l *goneLog) Read(context.Context, string, int64, time.Time) (log.Page, error) {
	l.reads.Add(1)
	return log.Page{First: 1_000_000_000_001}, log.ErrExpired
}

// TestReadEndsAtFirst guards against a read of a restored log that looks for the end of the
// copy further and further back, beyond the oldest record.
func TestReadEndsAtFirst(t *testing.T) {
	l := new(goneLog)
	c := New(WithSelf(testMember("d1", "a")), WithLog(l), WithCompactedLog()).(*control)
	defer c.Stop()
	if _, err := ask[int64](c, recordsArrived{entries: timedRecords(t), first: 1, next: 3, asked: time.Now()}); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.readOnce(true)
		done <- err
	}()
	select {
	case err := <-done:
		if !errors.Is(err, log.ErrExpired) || l.reads.Load() > 3 {
			t.Errorf("got %v after %d reads, want %v after 3 at most", err, l.reads.Load(), log.ErrExpired)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("the read does not end; %d reads so far", l.reads.Load())
	}
}
