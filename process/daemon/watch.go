package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// checkPeriod is the time between two checks of a part, and checkTimeout bounds one.
	checkPeriod  = time.Second
	checkTimeout = 2 * time.Second
	// unreadyAfter is how long a part may stand still until the daemon is not ready.
	unreadyAfter = 3 * time.Second
	// endAfter is how long a part may stand still until the process ends. A platform
	// starts it again, while a process that stands still keeps its callers waiting.
	endAfter = 15 * time.Second
	// maxDumpBytes bounds the dump of the goroutines in the log.
	maxDumpBytes = 256 << 10
)

// check is one part of the daemon that the watch looks at.
type check struct {
	name string
	// run returns an error if the part does not work, and does not return if it stands
	// still. An error of errBusy takes the daemon out of use without ending it.
	run func(ctx context.Context) error

	running atomic.Bool
	// workedAt is when the part last worked, livedAt when it last worked or was busy, in
	// nanoseconds since the start of the watch.
	workedAt, livedAt atomic.Int64
	failure           atomic.Pointer[error]
}

// errBusy means that a part works but takes no more now.
var errBusy = errors.New("the part takes no more connections")

// errStandsStill means that a part of the daemon no longer works and the process has to
// end.
var errStandsStill = errors.New("a part of the daemon stands still")

// watch checks the parts of the daemon through the paths that callers and peers use.
type watch struct {
	logger  hclog.Logger
	count   func(name string, n int64)
	start   time.Time
	checks  []*check
	unready atomic.Bool
}

// run checks all parts until ctx is done. It returns errStandsStill if one of them stands
// still for too long.
func (w *watch) run(ctx context.Context) error {
	t := time.NewTicker(checkPeriod)
	defer t.Stop()
	last := time.Now()
	w.restart(last)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := time.Now()
		if now.Sub(last) > checkPeriod+checkTimeout {
			// The process was paused, and no check could run.
			w.restart(now)
		}
		last = now
		for _, c := range w.checks {
			if c.running.CompareAndSwap(false, true) {
				go w.runCheck(ctx, c)
			}
		}
		if err := w.judge(now); err != nil {
			return err
		}
	}
}

// restart lets the time that all parts have begin anew.
func (w *watch) restart(now time.Time) {
	for _, c := range w.checks {
		c.workedAt.Store(int64(now.Sub(w.start)))
		c.livedAt.Store(int64(now.Sub(w.start)))
	}
}

func (w *watch) runCheck(ctx context.Context, c *check) {
	defer c.running.Store(false)
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	err := c.run(ctx)
	now := int64(time.Since(w.start))
	switch {
	case err == nil, errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		// Without a descriptor the check says nothing.
		c.workedAt.Store(now)
		c.livedAt.Store(now)
	case errors.Is(err, errBusy):
		c.livedAt.Store(now)
		c.failure.Store(&err)
	default:
		c.failure.Store(&err)
	}
}

// judge notes whether the daemon is ready, and logs when that changes.
func (w *watch) judge(now time.Time) error {
	var late []any
	for _, c := range w.checks {
		idle := now.Sub(w.start) - time.Duration(c.workedAt.Load())
		if idle < unreadyAfter {
			continue
		}
		reason := "no answer"
		if err := c.failure.Load(); err != nil && !c.running.Load() {
			reason = (*err).Error()
		}
		late = append(late, c.name, fmt.Sprintf("%s for %v", reason, idle.Round(time.Second)))
		if now.Sub(w.start)-time.Duration(c.livedAt.Load()) >= endAfter {
			dump := make([]byte, maxDumpBytes)
			w.logger.Error("a part of the daemon stands still; the process ends", append(late, "goroutines", string(dump[:runtime.Stack(dump, true)]))...)
			return fmt.Errorf("%w: %s", errStandsStill, c.name)
		}
	}
	if unready := len(late) > 0; unready != w.unready.Swap(unready) {
		if unready {
			w.count("watch.unready", 1)
			w.logger.Warn("a part of the daemon does not answer; not ready", late...)
		} else {
			w.logger.Info("all parts of the daemon answer again")
		}
	}
	return nil
}

// healthy reports whether all parts work.
func (w *watch) healthy() bool { return !w.unready.Load() }

// newWatch returns a watch of the listener for callers, the listener for peers, the path
// to the upstream and the control state.
func (d *Daemon) newWatch() *watch {
	w := &watch{logger: d.logger, count: d.metrics.Add, start: time.Now()}
	add := func(name string, run func(ctx context.Context) error) {
		w.checks = append(w.checks, &check{name: name, run: run})
	}
	add("callers", func(ctx context.Context) error {
		// This also takes the locks that keep the connections.
		d.callers.MakeRoom()
		err := ping(ctx, d.settings.CallerAddress)
		if err != nil && d.callers.Full() {
			return errBusy
		}
		return err
	})
	add("peers", func(ctx context.Context) error { return ping(ctx, d.settings.PeerAddress) })
	add("upstream", func(context.Context) error {
		d.host.Check()
		return nil
	})
	add("control", func(context.Context) error { return d.control.Check() })
	return w
}

// ping sends a request to an own address on a new connection and reads its response.
func ping(ctx context.Context, addr netip.AddrPort) (err error) {
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	if until, ok := ctx.Deadline(); ok {
		_ = nc.SetDeadline(until)
	}
	if _, err = io.WriteString(nc, "OPTIONS * HTTP/1.1\r\nHost: "+addr.String()+"\r\nConnection: close\r\n\r\n"); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}
