package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
	"github.com/kingcuppitch/kingcuppitch/version/config"
)

const (
	// inForceWithin is the design target for the time until a version is in force
	// everywhere.
	inForceWithin = 4 * time.Second
	// noNewWorkAfter is the time after which an availability zone that is out of
	// service, or an instance that drains, receives no new work.
	noNewWorkAfter = 5 * time.Second
	// startTimeout bounds the start of processes, with a margin for a busy machine.
	startTimeout = 20 * time.Second
)

// before names an earlier build. If it is set, the daemons of all tests alternate
// between that build and this one, and about half of them run each at any time.
var before = flag.String("before", "", "directory with the programs of an earlier build")

var (
	bin fleet.Binaries
	// builds holds the earlier build and this one; both are the same without -before.
	builds       [2]fleet.Binaries
	lookUpRoutes = []fleet.Route{{Method: http.MethodGet, Prefix: "/slots"}, {Method: http.MethodGet, Prefix: "/archive"}}
	allRoutes    = append(slices.Clone(lookUpRoutes), fleet.Route{Method: http.MethodPost, Prefix: "/reservations", Keyed: true})
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "kingcuppitch-e2e-")
		if err == nil {
			defer func() { _ = os.RemoveAll(dir) }()
			bin, err = fleet.Build(context.Background(), dir)
			builds = [2]fleet.Binaries{bin, bin}
		}
		if err == nil && *before != "" {
			builds[0].Daemon, builds[0].Client = filepath.Join(*before, "kingcuppitchd"), filepath.Join(*before, "kingcuppitch")
			bin.Daemon, err = fleet.Alternate(dir, builds[0].Daemon, builds[1].Daemon, true)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return m.Run()
	}())
}

// runningMeshes is a semaphore that limits the number of concurrent meshes. A mesh
// is mostly idle, so three of them use little processor time.
var runningMeshes = make(chan struct{}, 3)

// meshOptions describes how a mesh differs from the configuration in testdata.
type meshOptions struct {
	// secondVersion adds instances of booking v2.
	secondVersion bool
	// alwaysWarm gives instances in cold start as many slots as warm ones.
	alwaysWarm bool
}

// startMesh starts a mesh and waits until the configuration in testdata is in force
// and all instances are ready.
func startMesh(t *testing.T, m meshOptions) *fleet.Fleet {
	t.Helper()
	runningMeshes <- struct{}{}
	t.Cleanup(func() { <-runningMeshes })
	data, err := os.ReadFile("testdata/config.toml")
	if err != nil {
		t.Fatal(err)
	}
	if m.alwaysWarm {
		data = bytes.ReplaceAll(data, []byte("coldSlots = 4"), []byte("coldSlots = 20"))
	}
	path := filepath.Join(t.TempDir(), "config.toml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	specs := fleet.Specs(cfg, 1)
	for _, s := range slices.Clone(specs) {
		if m.secondVersion && s.Service == "booking" {
			s.Name, s.Version = s.Name+"-v2", "v2"
			specs = append(specs, s)
		}
	}
	readyBy := time.Now().Add(startTimeout)
	f, err := fleet.Start(t.TempDir(), bin, specs, readyBy)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, n := range f.Nodes {
				t.Logf("output of %s:\n%s", n.Name, lastLines(n.Daemon.Output(), 20))
			}
		}
		f.Stop(time.Now()) // kills at once; TestStopsCutNoCall covers graceful stops
	})
	watchVersions(t, f)
	client(t, f, "publish", "--wait", path)
	if err := f.AwaitReady(t.Context(), readyBy); err != nil {
		t.Fatal(err)
	}
	return f
}

func lastLines(s string, n int) string {
	lines := slices.DeleteFunc(strings.Split(s, "\n"), func(l string) bool { return strings.Contains(l, "kind=member") })
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func client(t *testing.T, f *fleet.Fleet, args ...string) string {
	t.Helper()
	out, err := f.Client(t.Context(), args...)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// traffic sends calls through a set of nodes, from which exclude removes one.
type traffic struct {
	stop    func() []fleet.Attempt
	entries atomic.Pointer[[]*fleet.Node]
}

func startTraffic(t *testing.T, f *fleet.Fleet, routes []fleet.Route) *traffic {
	return startWorkers(t, f, routes, 8)
}

func startWorkers(t *testing.T, f *fleet.Fleet, routes []fleet.Route, workers int) *traffic {
	tr := &traffic{}
	tr.entries.Store(&f.Nodes)
	tr.stop = fleet.Traffic{
		Name: t.Name(), Routes: routes, Workers: workers, Pause: 20 * time.Millisecond, Seed: 1,
		Entries: func() []*fleet.Node { return *tr.entries.Load() },
	}.Start(context.WithoutCancel(t.Context()))
	return tr
}

func (tr *traffic) exclude(n *fleet.Node) {
	rest := slices.DeleteFunc(slices.Clone(*tr.entries.Load()), func(m *fleet.Node) bool { return m == n })
	tr.entries.Store(&rest)
}

// watchVersions reports a daemon that serves an older version than it served
// before, also across a restart of its process.
func watchVersions(t *testing.T, f *fleet.Fleet) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range f.Nodes {
		wg.Go(func() {
			last := int64(0)
			for ctx.Err() == nil {
				if s, err := f.Status(ctx, n); err == nil && s.Serving {
					if s.Offset < last {
						t.Errorf("%s serves version %d after %d", n.Name, s.Offset, last)
					}
					last = s.Offset
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// checkCalls reports failed calls that permit does not allow, and outcomes that
// contradict the runs at the instances. It also fails if less than a quarter of the
// calls were answered.
func checkCalls(t *testing.T, f *fleet.Fleet, attempts []fleet.Attempt, permit func(*fleet.Attempt) bool) {
	t.Helper()
	runs, err := f.Runs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, err := range fleet.CheckRuns(attempts, runs) {
		t.Error(err)
	}
	good, permitted, failed := 0, 0, 0
	for _, r := range attempts {
		switch {
		case r.Err == nil && r.Result.Status == http.StatusOK:
			good++
		case permit != nil && permit(&r):
			permitted++
		default:
			if failed++; failed <= 10 {
				t.Errorf("failed: %v", &r)
			}
		}
	}
	t.Logf("%d calls: %d answered, %d failed as permitted, %d failed", len(attempts), good, permitted, failed)
	if good < len(attempts)/4 {
		t.Errorf("got %d of %d calls answered, want at least a quarter", good, len(attempts))
	}
}

// Guards against answers that belong to other calls, reservations that run twice,
// and calls that fail in a mesh without faults. It also logs the added latency.
func TestCallsThroughAllEntries(t *testing.T) {
	f := startMesh(t, meshOptions{})
	tr := startTraffic(t, f, allRoutes)
	time.Sleep(4 * time.Second)
	attempts := tr.stop()
	checkCalls(t, f, attempts, nil)

	caller := fleet.NewCaller()
	defer caller.Close()
	i := slices.IndexFunc(attempts, func(r fleet.Attempt) bool { return r.Call.Key != "" && r.Result.Status == http.StatusOK })
	if i < 0 {
		t.Fatal("no reservation was answered")
	}
	for _, n := range f.Nodes {
		res, err := caller.Do(t.Context(), n.Settings.CallerAddress, attempts[i].Call)
		if err != nil || res.Outcome != request.Replayed || string(res.Body) != string(attempts[i].Result.Body) {
			t.Errorf("repeated reservation through %s: got status %d, outcome %q, %v; want the first answer replayed", n.Name, res.Status, res.Outcome, err)
		}
	}
	checkCalls(t, f, attempts, nil)
	logAddedLatency(t, f)
}

// logAddedLatency alternates calls directly to the instances with calls through the
// mesh, and logs the difference in latency.
func logAddedLatency(t *testing.T, f *fleet.Fleet) {
	const calls = 1000
	caller := fleet.NewCaller()
	defer caller.Close()
	direct, mesh := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	booking := slices.DeleteFunc(slices.Clone(f.Nodes), func(n *fleet.Node) bool { return n.Service != "booking" })
	call := func(h *hdrhistogram.Histogram, addr netip.AddrPort, i int) {
		begin := time.Now()
		res, err := caller.Do(t.Context(), addr, fleet.Call{Method: http.MethodGet, Path: fmt.Sprintf("/slots?n=%d", i)})
		if err != nil || res.Status != http.StatusOK {
			t.Fatalf("call to %v: got %d %s, %v", addr, res.Status, res.Body, err)
		}
		_ = h.RecordValue(time.Since(begin).Microseconds())
	}
	for i := range calls {
		n := booking[i%len(booking)]
		call(direct, n.Address, i)
		call(mesh, n.Settings.CallerAddress, i)
	}
	for _, q := range []float64{50, 99} {
		d, m := direct.ValueAtQuantile(q), mesh.ValueAtQuantile(q)
		t.Logf("p%.0f of %d look-ups: direct %d us, through the mesh %d us, added %d us", q, calls, d, m, m-d)
	}
}

// Guards against reservations that run twice and look-ups that fail when a daemon
// is killed, and against a daemon that serves an older version after its restart.
func TestDaemonKilledAndRestarted(t *testing.T) {
	t.Parallel()
	f := startMesh(t, meshOptions{})
	killed := f.Nodes[slices.IndexFunc(f.Nodes, func(n *fleet.Node) bool { return n.Service == "booking" })]
	before, err := f.Status(t.Context(), killed)
	if err != nil {
		t.Fatal(err)
	}
	tr := startTraffic(t, f, allRoutes)
	time.Sleep(time.Second)
	killedAt := time.Now()
	if err := fleet.Kill(killed.Daemon); err != nil {
		t.Fatal(err)
	}
	tr.exclude(killed)
	time.Sleep(2 * time.Second)
	if err := f.StartDaemon(killed, time.Now().Add(startTimeout)); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitVersion(t.Context(), before.Offset, time.Now().Add(inForceWithin)); err != nil {
		t.Error(err)
	}
	if err := f.AwaitReady(t.Context(), time.Now().Add(noNewWorkAfter)); err != nil {
		t.Error(err)
	}
	tr.entries.Store(&f.Nodes)
	time.Sleep(2 * time.Second)
	checkCalls(t, f, tr.stop(), func(r *fleet.Attempt) bool {
		end := r.Begin.Add(r.Took)
		switch {
		case end.Before(killedAt) || r.Begin.After(killedAt.Add(noNewWorkAfter)):
			return false
		case r.Entry == killed:
			return r.Err != nil // the call ended with its entry
		}
		// The outcome of a reservation on the killed host is unknown. A reservation
		// whose claim shard was written by the killed daemon is refused for some
		// seconds.
		return r.Call.Key != "" && r.Err == nil && (r.Result.Outcome == request.Unknown || r.Result.Outcome == request.NotRun)
	})
}

// Guards against look-ups that depend on the log, reservations that run without a
// claim, and daemons that can't start during an outage of the log.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	f := startMesh(t, meshOptions{})
	before, err := f.Status(t.Context(), f.Nodes[0])
	if err != nil {
		t.Fatal(err)
	}
	tr := startTraffic(t, f, allRoutes)
	time.Sleep(500 * time.Millisecond)
	out := time.Now()
	if err := f.SetLogFaults(t.Context(), logservice.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	restarted := f.Nodes[len(f.Nodes)-1]
	tr.exclude(restarted)
	time.Sleep(1500 * time.Millisecond) // until the calls in flight through it have ended
	if err := fleet.Kill(restarted.Daemon); err != nil {
		t.Fatal(err)
	}
	if err := f.StartDaemon(restarted, time.Now().Add(startTimeout)); err != nil {
		t.Fatal(err)
	}
	// The peers in two availability zones answer at once. noNewWorkAfter allows time
	// for the members to discover the restarted daemon.
	if err := f.AwaitVersion(t.Context(), before.Offset, time.Now().Add(noNewWorkAfter)); err != nil {
		t.Error(err)
	}
	if err := f.AwaitReady(t.Context(), time.Now().Add(noNewWorkAfter)); err != nil {
		t.Error(err)
	}
	tr.entries.Store(&f.Nodes)
	time.Sleep(time.Second)
	back := time.Now()
	if err := f.SetLogFaults(t.Context(), logservice.Faults{}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(inForceWithin + time.Second)
	attempts := tr.stop()
	checkCalls(t, f, attempts, func(r *fleet.Attempt) bool {
		return r.Call.Key != "" && r.Err == nil && r.Result.Outcome == request.NotRun && r.Result.RetryAfter != "" &&
			r.Begin.Add(r.Took).After(out) && r.Begin.Before(back.Add(inForceWithin))
	})
	if !slices.ContainsFunc(attempts, func(r fleet.Attempt) bool { return r.Result.Outcome == request.NotRun }) {
		t.Error("no reservation was refused during the outage")
	}
}

// Guards against calls that are aborted when a daemon stops or an instance drains,
// and against new work for an instance that drains.
func TestStopsCutNoCall(t *testing.T) {
	t.Parallel()
	// In cold start the long calls would queue behind each other.
	f := startMesh(t, meshOptions{alwaysWarm: true})
	booking := slices.DeleteFunc(slices.Clone(f.Nodes), func(n *fleet.Node) bool { return n.Service != "booking" })
	leaving, draining := booking[0], booking[1]
	ending := f.Nodes[slices.IndexFunc(f.Nodes, func(n *fleet.Node) bool { return n.Service == "archive" })]

	tr := startTraffic(t, f, allRoutes)
	time.Sleep(time.Second)
	// These calls are in flight at the stop, both at the entry and at the host, and
	// last longer than the time for which the daemon announces its stop.
	caller := fleet.NewCaller()
	defer caller.Close()
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			call := fleet.Call{Method: http.MethodGet, Path: fmt.Sprintf("/slots?workMs=3000&i=%d", i)}
			if res, err := caller.Do(t.Context(), leaving.Settings.CallerAddress, call); err != nil || res.Status != http.StatusOK {
				t.Errorf("call in flight at the stop: got status %d %s, %v", res.Status, res.Body, err)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	if err := leaving.Daemon.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	if code, err := leaving.Daemon.Wait(time.Now().Add(startTimeout)); err != nil || code != 0 {
		t.Errorf("daemon after SIGTERM: got exit status %d, %v; want 0", code, err)
	}
	tr.exclude(leaving)
	t.Logf("SIGTERM to %s at %s, ended after %v", leaving.Name, stopped.Format("15:04:05.000"), time.Since(stopped).Round(time.Millisecond))

	if err := draining.PostAdmin(t.Context(), "/drain"); err != nil {
		t.Fatal(err)
	}
	if err := ending.Instance.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	checkNoNewWork(t, draining)
	if code, err := ending.Instance.Wait(time.Now().Add(startTimeout)); err != nil || code != 0 {
		t.Errorf("instance after SIGTERM: got exit status %d, %v; want 0", code, err)
	}
	checkCalls(t, f, tr.stop(), func(r *fleet.Attempt) bool { return r.Entry == leaving && r.DialFailed() })
}

// checkNoNewWork waits for noNewWorkAfter and then checks that nodes get no request
// for one second.
func checkNoNewWork(t *testing.T, nodes ...*fleet.Node) {
	t.Helper()
	time.Sleep(noNewWorkAfter)
	count := func() (sum int64) {
		for _, n := range nodes {
			s, err := n.Stats(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			sum += s.Requests
		}
		return sum
	}
	before := count()
	time.Sleep(time.Second)
	if got := count() - before; got != 0 {
		t.Errorf("got %d new requests after %v, want 0", got, noNewWorkAfter)
	}
}

// Guards against new work in an availability zone that is out of service, calls
// that fail while it is taken out, and a zone that gets no work after its return.
func TestZoneOutAndBack(t *testing.T) {
	t.Parallel()
	f := startMesh(t, meshOptions{})
	out := slices.DeleteFunc(slices.Clone(f.Nodes), func(n *fleet.Node) bool { return n.Zone != "nl-west-a" })
	tr := startTraffic(t, f, allRoutes)
	time.Sleep(500 * time.Millisecond)
	client(t, f, "zone", "out", "nl-west-a")
	checkNoNewWork(t, out...)
	client(t, f, "zone", "back", "nl-west-a", "--ramp", "1s")
	var before, after int64
	for i, sum := range []*int64{&before, &after} {
		time.Sleep(time.Duration(i) * inForceWithin)
		for _, n := range out {
			s, err := n.Stats(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			*sum += s.Requests
		}
	}
	if after <= before {
		t.Errorf("got no new work within %v of the return", inForceWithin)
	}
	checkCalls(t, f, tr.stop(), nil)
}

// Guards against versions that take longer than the target to be in force, and
// against a daemon that returns to an older version.
func TestConvergence(t *testing.T) {
	f := startMesh(t, meshOptions{})
	data, err := os.ReadFile("testdata/config.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.toml")
	times := hdrhistogram.New(1, 60_000, 3)
	for i := range 10 {
		data = fmt.Appendf(data, "\n[[routes]]\nname = \"added-%d\"\nprefix = \"/added-%d\"\nupstream = \"booking\"\nidempotent = true\nclass = \"browse\"\nanswerWithin = \"3s\"\n", i, i)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		var res struct{ Version int64 }
		if err := json.Unmarshal([]byte(client(t, f, "--output", "json", "publish", path)), &res); err != nil || res.Version == 0 {
			t.Fatalf("got version %d, %v", res.Version, err)
		}
		if err := f.AwaitVersion(t.Context(), res.Version, begin.Add(inForceWithin)); err != nil {
			t.Error(err)
		}
		_ = times.RecordValue(time.Since(begin).Milliseconds())
		caller := fleet.NewCaller()
		for _, n := range f.Nodes {
			got, err := caller.Do(t.Context(), n.Settings.CallerAddress, fleet.Call{Method: http.MethodGet, Path: fmt.Sprintf("/added-%d", i)})
			if err != nil || got.Status != http.StatusOK {
				t.Errorf("route of version %d through %s: got %d %s, %v", res.Version, n.Name, got.Status, got.Body, err)
			}
		}
		caller.Close()
	}
	t.Logf("%d versions over %d daemons: p50 %d ms, max %d ms, from the start of the client", times.TotalCount(), len(f.Nodes), times.ValueAtQuantile(50), times.Max())
}
