package e2e_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"golang.org/x/sys/unix"
)

// setDescriptors sets the limit of descriptors of a process.
func setDescriptors(t *testing.T, pid int, n uint64) {
	t.Helper()
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil); err != nil {
		t.Fatal(err)
	}
}

// keepOpen keeps a connection open on which only text is sent, and opens another one a
// second after it was closed.
func keepOpen(addr, text string, until time.Time) {
	for time.Now().Before(until) {
		nc, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		_ = nc.SetDeadline(until)
		_, _ = io.WriteString(nc, text)
		_, _ = io.Copy(io.Discard, nc)
		_ = nc.Close()
		time.Sleep(min(time.Second, time.Until(until)))
	}
}

// Guards against callers that take all descriptors of a daemon with connections that
// bring no complete request: the daemon then serves nobody, or its own connections to
// peers and to its upstream fail, also after those callers have left.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	const (
		descriptors, others = 1000, 1300
		period              = 5 * time.Second
		// settleWithin is the time after which the connections of others do not affect
		// requests.
		settleWithin = time.Second
	)
	f := startMesh(t, meshOptions{})
	n := f.Nodes[0]
	pid := n.Daemon.PID()
	setDescriptors(t, pid, descriptors)
	for _, text := range []string{
		"",
		"GET /slots HTTP/1.1\r\nHost:",
		"POST /reservations HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nabc",
	} {
		t.Run(fmt.Sprintf("%.4q", text), func(t *testing.T) {
			through := fleet.Traffic{
				Name: t.Name(), Routes: lookUpRoutes, Workers: 8, Pause: 20 * time.Millisecond, Seed: 1,
				Entries: func() []*fleet.Node { return []*fleet.Node{n} },
			}.Start(context.WithoutCancel(t.Context()))
			opened := time.Now()
			left := opened.Add(period)
			var wg sync.WaitGroup
			for range others {
				wg.Go(func() { keepOpen(n.Settings.CallerAddress.String(), text, left) })
			}
			wg.Wait()
			time.Sleep(period)
			during, after := 0, 0
			servedDuring, servedAfter := 0, 0
			for _, r := range through() {
				ok := r.Err == nil && r.Result.Status == http.StatusOK
				switch {
				case r.Begin.After(left.Add(settleWithin)):
					after++
					if ok {
						servedAfter++
					} else {
						t.Errorf("after the others have left: %v", &r)
					}
				case r.Begin.After(opened.Add(settleWithin)) && r.Begin.Before(left):
					during++
					if ok {
						servedDuring++
					}
				}
			}
			t.Logf("served %d of %d during, %d of %d after", servedDuring, during, servedAfter, after)
			if during == 0 || servedDuring*100 < during*99 {
				t.Errorf("got %d of %d requests served beside the others, want 99 %%", servedDuring, during)
			}
			if after == 0 {
				t.Error("got no request after the others have left")
			}
			select {
			case <-n.Daemon.Done():
				t.Fatal("the daemon ended")
			default:
			}
		})
	}
}
