package daemon

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
)

// TestWatch guards against a daemon that stays ready, or stays at all, while a part of it
// answers nobody, and against ending one that is only full, short of descriptors or was
// paused.
func TestWatch(t *testing.T) {
	hang := func(ctx context.Context) error { <-ctx.Done(); select {} }
	fail := func(err error) func(context.Context) error { return func(context.Context) error { return err } }
	for _, c := range []struct {
		name       string
		run        func(ctx context.Context) error
		ready, end bool
	}{
		{"works", fail(nil), true, false},
		{"standsStill", hang, false, true},
		{"refuses", fail(syscall.ECONNREFUSED), false, true},
		{"full", fail(errBusy), false, false},
		{"noDescriptor", fail(&net.OpError{Op: "dial", Err: syscall.EMFILE}), true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The bubble cannot wait for a check that never returns.
			defer func() {
				if err := recover(); err != nil && c.name != "standsStill" {
					panic(err)
				}
			}()
			synctest.Test(t, func(t *testing.T) {
				w := &watch{logger: hclog.NewNullLogger(), count: func(string, int64) {}, start: time.Now()}
				w.checks = []*check{{name: "part", run: c.run}, {name: "other", run: fail(nil)}}
				ctx, cancel := context.WithTimeout(t.Context(), 2*endAfter)
				defer cancel()
				ended := make(chan error, 1)
				go func() { ended <- w.run(ctx) }()
				time.Sleep(unreadyAfter + 2*checkPeriod)
				if got := w.healthy(); got != c.ready {
					t.Errorf("got ready %v, want %v", got, c.ready)
				}
				err := <-ended
				if got := errors.Is(err, errStandsStill); got != c.end {
					t.Errorf("got %v, want it to end the process %v", err, c.end)
				}
			})
		})
	}
}

// TestDaemonWithStandingPart guards against a daemon that stays ready, or waits for a
// graceful shutdown, while a part of it stands still.
func TestDaemonWithStandingPart(t *testing.T) {
	t.Parallel()
	log := httptest.NewServer(new(fakeLog))
	defer log.Close()
	d := New(settings.Settings{
		Name: "d1", Region: "r", Zone: "a", CallerAddress: freeAddr(t), PeerAddress: freeAddr(t), AnnounceAddress: freeAddr(t),
		MetricsAddress: freeAddr(t), LogAddress: netip.MustParseAddrPort(log.Listener.Addr().String()), LogLevel: "error",
	}, hclog.NewNullLogger())
	var mu sync.Mutex
	mu.Lock()
	defer mu.Unlock()
	d.watch.checks = append(d.watch.checks, &check{name: "part", run: func(context.Context) error {
		mu.Lock()
		defer mu.Unlock()
		return nil
	}})
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(t.Context()) }()
	for d.watch.healthy() && time.Since(began) < endAfter {
		time.Sleep(10 * time.Millisecond)
	}
	if took, want := time.Since(began), unreadyAfter+3*checkPeriod; took > want {
		t.Errorf("not ready after %v, want at most %v", took, want)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, errStandsStill) {
			t.Errorf("got %v, want %v", err, errStandsStill)
		}
	case <-time.After(2 * endAfter):
		t.Fatal("the daemon does not end")
	}
	if got, want := d.watch.failing(time.Now()), "part"; got != want {
		t.Errorf("got %q standing still, want %q alone", got, want)
	}
}

// failing returns the names of the parts that have not worked for a while.
func (w *watch) failing(now time.Time) (names string) {
	for _, c := range w.checks {
		if now.Sub(w.start)-time.Duration(c.workedAt.Load()) >= unreadyAfter {
			names += c.name
		}
	}
	return names
}

// TestWatchAfterPause guards against a process that ends itself because it was paused.
func TestWatchAfterPause(t *testing.T) {
	now := time.Now()
	w := &watch{logger: hclog.NewNullLogger(), count: func(string, int64) {}, start: now}
	w.checks = []*check{{name: "part"}}
	later := now.Add(2 * endAfter)
	w.restart(later)
	if err := w.judge(later.Add(checkPeriod)); err != nil || !w.healthy() {
		t.Errorf("got %v, ready %v, want no error and ready", err, w.healthy())
	}
}
