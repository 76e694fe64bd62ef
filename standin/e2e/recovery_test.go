package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/kingcuppitch/kingcuppitch/internal/loopback"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
	"github.com/kingcuppitch/kingcuppitch/standin/upstream"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

// exitRefused is the exit code of the operators' client after a refusal.
const exitRefused = 2

// operation is one operator command and its result.
type operation struct {
	// resource is the kind of resource that the command changes.
	resource string
	author   string
	// value is the name of the preset that the command puts in force, if any.
	value string
	args  []string

	code   int
	result struct {
		Result       string
		Version      int64
		Winner       int64
		WinnerAuthor string
		Reason       string
	}
	stderr string
}

// run runs the command with n as the only daemon.
func (o *operation) run(t *testing.T, n *fleet.Node) {
	var stdout, stderr bytes.Buffer
	args := append([]string{"--daemon", n.Settings.PeerAddress.String(), "--output", "json", "--timeout", "30s"}, o.args...)
	cmd := exec.CommandContext(t.Context(), bin.Client, append(args, "--author", o.author)...) //nolint:gosec // the test built the program
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	o.stderr = stderr.String()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		o.code = exit.ExitCode()
	} else if err != nil {
		t.Errorf("%q: %v", o.args, err)
		return
	}
	if err := json.Unmarshal(stdout.Bytes(), &o.result); err != nil {
		t.Errorf("%q: got exit code %d and output %q, %v", o.args, o.code, stdout.String(), err)
	}
}

// editConfig writes an edited copy of the configuration in testdata to a file and
// returns its path.
func editConfig(t *testing.T, edit func(string) string) string {
	t.Helper()
	data, err := os.ReadFile("testdata/config.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.toml")
	if err := os.WriteFile(path, []byte(edit(string(data))), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func withPresets(s string) string {
	for _, name := range []string{"maintenance", "peak"} {
		s += fmt.Sprintf("\n[[presets]]\nname = %q\nshed = [\"browse\", \"lookup\", \"reserve\"]\nretryPercent = 10\ncanaryPercent = 5\n", name)
	}
	return s
}

// recordBases returns the base of each operator record on the log, by offset.
func recordBases(t *testing.T, f *fleet.Fleet) map[int64]int64 {
	t.Helper()
	res, err := http.Get("http://" + f.LogAddress.String() + "/streams/" + record.Stream)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var page struct {
		Records []struct {
			Offset int64
			Data   []byte
		}
	}
	if err := json.NewDecoder(res.Body).Decode(&page); err != nil {
		t.Fatal(err)
	}
	out := make(map[int64]int64)
	for _, e := range page.Records {
		if rec, err := record.Decode(e.Data); err == nil && rec.Kind != record.KindSnapshot {
			out[e.Offset] = rec.Base
		}
	}
	return out
}

// awaitSame waits until all daemons hold the same state and returns their statuses.
// Nothing may be appended to the log meanwhile.
func awaitSame(t *testing.T, f *fleet.Fleet, until time.Time) []*wirev1.StatusResponse {
	t.Helper()
	for {
		var all []*wirev1.StatusResponse
		same := true
		for _, n := range f.Nodes {
			s, err := f.Status(t.Context(), n)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, s)
			same = same && s.Serving && s.Offset == all[0].Offset && s.StateHash == all[0].StateHash
		}
		if same {
			return all
		}
		if time.Now().After(until) {
			for _, s := range all {
				t.Errorf("%s has offset %d, state hash %s and serving %v", s.Daemon, s.Offset, s.StateHash, s.Serving)
			}
			t.Fatal("the daemons don't hold the same state")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against concurrent operator changes that overwrite each other, a record
// that is applied twice or reported as refused because the log lost an answer, and
// daemons that disagree about the winner or the preset in force.
func TestOperatorsRace(t *testing.T) {
	const (
		rounds = 3
		// allSent is the time in which all clients read the base and send their
		// records. The records wait in the daemons until the log is available again.
		allSent = 2 * time.Second
	)
	f := startMesh(t, meshOptions{})
	client(t, f, "publish", "--wait", editConfig(t, withPresets))
	var lost int64
	for round := range rounds {
		before := awaitSame(t, f, time.Now().Add(inForceWithin))[0]
		var ops []*operation
		for i, preset := range []string{"ordinary", "peak", "maintenance"} {
			edited := editConfig(t, func(s string) string {
				return strings.Replace(withPresets(s), `answerWithin = "3s"`, fmt.Sprintf("answerWithin = \"%dms\"", 2000+100*round+10*i), 1)
			})
			ops = append(ops,
				&operation{resource: "route", args: []string{"publish", "--base", fmt.Sprint(before.Offset), edited}},
				&operation{resource: "preset", value: preset, args: []string{"preset", "set", preset}},
				&operation{resource: "zone", args: []string{"zone", "out", f.Nodes[round].Zone}},
			)
		}
		if err := f.SetLogFaults(t.Context(), logservice.Faults{Outage: true}); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for i, o := range ops {
			o.author = fmt.Sprintf("operator-%d-%d", round, i)
			wg.Go(func() { o.run(t, f.Nodes[(i+round)%len(f.Nodes)]) })
		}
		time.Sleep(allSent)
		if err := f.SetLogFaults(t.Context(), logservice.Faults{LoseAnswers: 0.5}); err != nil {
			t.Fatal(err)
		}
		wg.Wait()
		if err := f.SetLogFaults(t.Context(), logservice.Faults{}); err != nil {
			t.Fatal(err)
		}
		after := awaitSame(t, f, time.Now().Add(inForceWithin))
		// A base at or after the first record of the round means that an operator
		// saw the change of another one.
		base := recordBases(t, f)
		first := after[0].Offset
		for offset := range base {
			if offset > before.Offset {
				first = min(first, offset)
			}
		}
		for offset, b := range base {
			if offset >= first && b >= first {
				t.Errorf("round %d: record %d has base %d, want one below %d; the operators did not race", round, offset, b, first)
			}
		}
		for _, resource := range []string{"route", "preset", "zone"} {
			checkRace(t, ops, resource)
		}
		for _, o := range ops {
			if o.resource != "preset" || o.code != 0 {
				continue
			}
			awaitPreset(t, f, o.value, time.Now().Add(inForceWithin))
		}
		stats, err := f.LogStats(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("round %d: %d operations made %d records, %d answers lost", round, len(ops), after[0].Offset-before.Offset, stats.LostAnswers-lost)
		lost = stats.LostAnswers
	}
	if lost == 0 {
		t.Error("the log lost no answer")
	}
}

// awaitPreset waits until the preset is in force on all daemons, which is some time
// after its record is appended.
func awaitPreset(t *testing.T, f *fleet.Fleet, name string, until time.Time) {
	t.Helper()
	for _, n := range f.Nodes {
		for {
			s, err := f.Status(t.Context(), n)
			if err == nil && s.Preset == name {
				break
			}
			if time.Now().After(until) {
				t.Errorf("%s has preset %q in force, %v; want %q", n.Name, s.GetPreset(), err, name)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkRace checks that exactly one operation on a resource won, and that each other
// one was refused with the version and the author of the winner.
func checkRace(t *testing.T, ops []*operation, resource string) {
	t.Helper()
	var winner *operation
	for _, o := range ops {
		if o.resource != resource || o.code != 0 {
			continue
		}
		if winner != nil {
			t.Errorf("%s: %q and %q both won", resource, winner.args, o.args)
		}
		winner = o
	}
	if winner == nil {
		t.Errorf("%s: no operation won", resource)
	}
	for _, o := range ops {
		if o.resource != resource || o == winner {
			continue
		}
		if r := o.result; winner == nil || o.code != exitRefused || r.Winner != winner.result.Version || r.WinnerAuthor != winner.author {
			t.Errorf("%q by %s: got exit code %d and %+v, want code %d and the winner of %s\n%s", o.args, o.author, o.code, r, exitRefused, resource, o.stderr)
		}
	}
}

// withRoute returns an edit that appends a look-up route of the upstream booking.
func withRoute(name string) func(string) string {
	return func(s string) string {
		return s + fmt.Sprintf("\n[[routes]]\nname = %q\nprefix = \"/%s\"\nupstream = \"booking\"\nidempotent = true\nclass = \"browse\"\nanswerWithin = \"3s\"\n", name, name)
	}
}

// watchOffset polls the offset of a daemon until ctx ends and reports a decrease,
// also while the daemon doesn't serve.
func watchOffset(ctx context.Context, t *testing.T, f *fleet.Fleet, n *fleet.Node) {
	last := int64(0)
	for ctx.Err() == nil {
		if s, err := f.Status(ctx, n); err == nil {
			if s.Offset < last {
				t.Errorf("%s has offset %d after %d", n.Name, s.Offset, last)
			}
			last = s.Offset
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sendLookUps sends look-ups through one daemon until ctx ends and returns the
// attempts.
func sendLookUps(ctx context.Context, n *fleet.Node, workers int, path string) (attempts []fleet.Attempt) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			caller := fleet.NewCaller()
			defer caller.Close()
			for ctx.Err() == nil {
				r := fleet.Attempt{Call: fleet.Call{Method: http.MethodGet, Path: path}, Entry: n, Begin: time.Now()}
				r.Result, r.Err = caller.Do(context.WithoutCancel(ctx), n.Settings.CallerAddress, r.Call)
				r.Took = time.Since(r.Begin)
				mu.Lock()
				attempts = append(attempts, r)
				mu.Unlock()
				time.Sleep(time.Millisecond)
			}
		})
	}
	wg.Wait()
	return attempts
}

// checkCurrent reports look-ups that were answered from an older version: their
// route exists only in the newest one. It returns the number of refusals by a daemon
// without a current configuration.
func checkCurrent(t *testing.T, attempts []fleet.Attempt) (refused int) {
	t.Helper()
	for _, r := range attempts {
		switch {
		case r.Err == nil && r.Result.Status == http.StatusNotFound:
			t.Errorf("answered from an older version: %v", &r)
		case r.Err == nil && r.Result.Status == http.StatusServiceUnavailable && r.Result.Outcome == request.NotRun:
			refused++
		}
	}
	return refused
}

// logSummary logs the success rate and the latency of the look-ups that began in the
// given time, and returns the success rate.
func logSummary(t *testing.T, what string, attempts []fleet.Attempt, from, until time.Time) float64 {
	t.Helper()
	h := hdrhistogram.New(1, 60_000_000, 3)
	good, all := 0, 0
	for _, r := range attempts {
		if r.Call.Key != "" || r.Begin.Before(from) || !r.Begin.Before(until) {
			continue
		}
		all++
		if r.Err == nil && r.Result.Status == http.StatusOK {
			good++
		}
		_ = h.RecordValue(r.Took.Microseconds())
	}
	share := float64(good) / float64(max(1, all))
	t.Logf("%s: %d of %d look-ups answered (%.5f), p50 %.1f ms, p99 %.1f ms, max %.1f ms", what, good, all, share,
		float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000)
	return share
}

// repeatKeyed repeats up to 50 keyed calls that were not answered, with the same
// keys, and checks that none runs twice. Call CheckRuns before, because a repeated
// call may run although its first attempt was refused.
func repeatKeyed(t *testing.T, f *fleet.Fleet, attempts []fleet.Attempt, entry *fleet.Node) {
	t.Helper()
	caller := fleet.NewCaller()
	defer caller.Close()
	repeated := 0
	for _, r := range attempts {
		if r.Call.Key == "" || r.Err == nil && r.Result.Status == http.StatusOK || repeated == 50 {
			continue
		}
		repeated++
		_, _ = caller.Do(t.Context(), entry.Settings.CallerAddress, r.Call)
	}
	runs := runsOf(t, f.Nodes...)
	for key, run := range runs.Keys {
		if run.Started > 1 {
			t.Errorf("the request with key %s ran %d times", key, run.Started)
		}
	}
	t.Logf("%d keyed calls repeated, %d keys ran", repeated, len(runs.Keys))
}

// runsOf returns the combined runs of some instances.
func runsOf(t *testing.T, nodes ...*fleet.Node) upstream.Runs {
	t.Helper()
	runs, err := (&fleet.Fleet{Nodes: nodes}).Runs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return runs
}

func requestCount(t *testing.T, nodes ...*fleet.Node) (sum int64) {
	t.Helper()
	for _, n := range nodes {
		s, err := n.Stats(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		sum += s.Requests
	}
	return sum
}

// Guards against a daemon that, after a pause of its process, serves from its old
// state, gives work to its instance although the availability zone was taken out
// meanwhile, or runs a reservation that another daemon has taken over.
func TestDaemonPaused(t *testing.T) {
	const (
		// pause is longer than the time limit of every route, so no call that was in
		// flight before it may run after it.
		pause = 5500 * time.Millisecond
		// quietAfter is the time after which the instance of the paused daemon has no
		// call in flight: the daemon sends none and a request takes 2 ms of work.
		quietAfter = time.Second
		// publishAfter is later than the end of the long polls of the log that were
		// open at the pause. Their answers lack the new version and are the first
		// that the daemon reads after the pause.
		publishAfter = 3 * time.Second
	)
	f := startMesh(t, meshOptions{})
	paused := f.Nodes[slices.IndexFunc(f.Nodes, func(n *fleet.Node) bool { return n.Service == "booking" && n.Zone == "nl-west-c" })]
	zone := slices.DeleteFunc(slices.Clone(f.Nodes), func(n *fleet.Node) bool { return n.Zone != paused.Zone })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { watchOffset(ctx, t, f, paused) })

	others := startTraffic(t, f, allRoutes)
	throughPaused := fleet.Traffic{
		Name: t.Name() + "-through", Routes: allRoutes[len(lookUpRoutes):], Workers: 8, Pause: 5 * time.Millisecond, Seed: 2,
		Entries: func() []*fleet.Node { return []*fleet.Node{paused} },
	}.Start(context.WithoutCancel(t.Context()))
	time.Sleep(time.Second)
	others.exclude(paused)
	time.Sleep(200 * time.Millisecond) // until the calls of others through it have ended
	if err := paused.Daemon.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	awaitHalted(t, paused.Daemon.PID())
	stopped := time.Now()
	time.Sleep(quietAfter)
	before, runsDuringPause := requestCount(t, paused), runsOf(t, paused)
	time.Sleep(time.Until(stopped.Add(publishAfter)))
	client(t, f, "publish", editConfig(t, withRoute("during")))
	client(t, f, "zone", "out", paused.Zone)
	target, err := f.Status(t.Context(), f.Nodes[0])
	if err != nil {
		t.Fatal(err)
	}
	var probes []fleet.Attempt
	probing, stopProbes := context.WithCancel(t.Context())
	wg.Go(func() { probes = sendLookUps(probing, paused, 8, "/during") })
	time.Sleep(time.Until(stopped.Add(pause)))
	resumed := time.Now()
	if err := paused.Daemon.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for {
		s, err := f.Status(t.Context(), paused)
		if err == nil && s.Serving && s.Offset >= target.Offset {
			break
		}
		if time.Since(resumed) > inForceWithin {
			t.Fatalf("the daemon did not catch up within %v: %v, %v", inForceWithin, s, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	caughtUp := time.Since(resumed)
	checkNoNewWork(t, zone...)
	requestsAfterPause, runsAfterPause := requestCount(t, paused)-before, runsOf(t, paused)
	stopProbes()
	cancel()
	wg.Wait()
	end := time.Now()
	refused := checkCurrent(t, probes)
	t.Logf("caught up %d ms after the pause, %d of %d look-ups through it refused", caughtUp.Milliseconds(), refused, len(probes))

	attempts := others.stop()
	keyed := throughPaused()
	if share := logSummary(t, "through other daemons during the pause", attempts, stopped, end); share < 0.99 {
		t.Errorf("got a share of %.5f of the look-ups answered, want at least 0.99", share)
	}
	keyedAll := append(slices.Clone(attempts), keyed...)
	// A call that had passed the last check of the host at the pause, but was not yet
	// written to the instance, is written afterwards. It does not count as new work.
	inFlight := int64(0)
	for _, r := range keyedAll {
		switch {
		case r.Begin.Before(stopped) && r.Begin.Add(r.Took).After(stopped):
			inFlight++
		case runsAfterPause.Keys[r.Call.Key] != runsDuringPause.Keys[r.Call.Key]:
			t.Errorf("ran on the instance of the paused daemon after the pause: %v", &r)
		}
	}
	if requestsAfterPause > inFlight {
		t.Errorf("the instance of the paused daemon got %d requests after the pause, want at most the %d that were in flight", requestsAfterPause, inFlight)
	}
	t.Logf("%d of %d calls in flight at the pause were written after it", requestsAfterPause, inFlight)
	for _, err := range fleet.CheckRuns(keyedAll, runsOf(t, f.Nodes...)) {
		t.Error(err)
	}
	repeatKeyed(t, f, keyedAll, f.Nodes[0])
}

// awaitHalted waits until all threads of a process are stopped. On a busy machine that may
// be long after the signal, and until then the process works.
func awaitHalted(t *testing.T, pid int) {
	t.Helper()
	began := time.Now()
	for until := began.Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
		running := err != nil || len(threads) == 0
		for _, name := range threads {
			data, err := os.ReadFile(name) //nolint:gosec // a file of the kernel
			// The state follows the name, which is in brackets.
			if i := bytes.LastIndexByte(data, ')'); err == nil && (i < 0 || !bytes.HasPrefix(data[i+1:], []byte(" T"))) {
				running = true
			}
		}
		if !running {
			t.Logf("all threads of the paused daemon stood still %v after SIGSTOP was sent", time.Since(began))
			return
		}
	}
	t.Fatal("the paused daemon does not stand still")
}

// restartDaemons starts the daemons of nodes again and waits until they accept
// connections.
func restartDaemons(t *testing.T, f *fleet.Fleet, nodes []*fleet.Node) {
	t.Helper()
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() {
			if err := f.StartDaemon(n, time.Now().Add(startTimeout)); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if t.Failed() {
		t.FailNow()
	}
}

// killDaemons sends SIGKILL to the daemons of all nodes, then waits for their end.
func killDaemons(t *testing.T, nodes []*fleet.Node) {
	t.Helper()
	for _, n := range nodes {
		if err := n.Daemon.Signal(syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range nodes {
		if _, err := n.Daemon.Wait(time.Now().Add(startTimeout)); err != nil {
			t.Fatal(err)
		}
	}
}

// awaitServing waits until all nodes serve the version or a later one, and returns
// how long it took.
func awaitServing(t *testing.T, f *fleet.Fleet, nodes []*fleet.Node, version int64, within time.Duration) time.Duration {
	t.Helper()
	begin := time.Now()
	for _, n := range nodes {
		for {
			s, err := f.Status(t.Context(), n)
			if err == nil && s.Serving && s.Offset >= version {
				break
			}
			if time.Since(begin) > within {
				t.Errorf("%s doesn't serve version %d within %v: offset %d, serving %v, %v", n.Name, version, within, s.GetOffset(), s.GetServing(), err)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(begin)
}

// checkNotServing checks until the given time that nodes don't serve and that each
// refuses calls as notRun.
func checkNotServing(t *testing.T, f *fleet.Fleet, nodes []*fleet.Node, until time.Time) {
	t.Helper()
	caller := fleet.NewCaller()
	defer caller.Close()
	for time.Now().Before(until) {
		for _, n := range nodes {
			if s, err := f.Status(t.Context(), n); err != nil || s.Serving {
				t.Errorf("%s: got serving %v with offset %d, %v; want not serving", n.Name, s.GetServing(), s.GetOffset(), err)
			}
			res, err := caller.Do(t.Context(), n.Settings.CallerAddress, fleet.Call{Method: http.MethodGet, Path: "/slots"})
			if err != nil || res.Outcome != request.NotRun || res.Status != http.StatusServiceUnavailable {
				t.Errorf("look-up through %s: got status %d, outcome %q, %v; want a refusal as notRun", n.Name, res.Status, res.Outcome, err)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against faults when many daemons restart at once: an older version in
// force, a daemon that serves before it knows that its state is current, a daemon
// that doesn't serve again, and reservations that run twice.
func TestManyDaemonsRestarted(t *testing.T) {
	const (
		// peerStartTimeout bounds a start during an outage of the log. The exchanges
		// with seeds and peers, one per second, must reach two availability zones.
		peerStartTimeout = 10 * time.Second
		// refuseFor is how long the test checks that daemons refuse calls. They
		// exchange with each peer at least once in this time.
		refuseFor = 3 * time.Second
	)
	f := startMesh(t, meshOptions{})
	inZones := func(zones ...string) []*fleet.Node {
		return slices.DeleteFunc(slices.Clone(f.Nodes), func(n *fleet.Node) bool { return !slices.Contains(zones, n.Zone) })
	}
	oneZone, twoZones, remainingZone := inZones("nl-west-c"), inZones("nl-west-b", "nl-west-c"), inZones("nl-west-a")
	outage := func(on bool) {
		if err := f.SetLogFaults(t.Context(), logservice.Faults{Outage: on}); err != nil {
			t.Fatal(err)
		}
	}
	// publishRoute publishes a route, which an older version answers with 404.
	publishRoute := func(name string) int64 {
		client(t, f, "publish", "--wait", editConfig(t, withRoute(name)))
		s, err := f.Status(t.Context(), f.Nodes[0])
		if err != nil {
			t.Fatal(err)
		}
		return s.Offset
	}
	// withLookUps runs during while it sends look-ups on the named route through nodes.
	withLookUps := func(name string, nodes []*fleet.Node, during func()) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, n := range nodes {
			wg.Go(func() { checkCurrent(t, sendLookUps(ctx, n, 2, "/"+name)) })
		}
		during()
		cancel()
		wg.Wait()
	}
	var attempts []fleet.Attempt
	// withTraffic runs during while it sends calls through the remaining zone.
	withTraffic := func(what string, during func()) {
		tr := fleet.Traffic{
			Name: strings.ReplaceAll(what, " ", "-"), Routes: allRoutes, Workers: 8, Pause: 20 * time.Millisecond, Seed: 1,
			Entries: func() []*fleet.Node { return remainingZone },
		}.Start(context.WithoutCancel(t.Context()))
		time.Sleep(500 * time.Millisecond)
		begin := time.Now()
		during()
		time.Sleep(time.Second)
		got := tr()
		// A call that lost its connection twice is not tried again, so a few fail.
		if share := logSummary(t, what, got, begin, time.Now()); share < 0.95 {
			t.Errorf("%s: got a share of %.5f of the look-ups answered through the remaining zone, want at least 0.95", what, share)
		}
		attempts = append(attempts, got...)
	}

	version := publishRoute("first")
	withLookUps("first", twoZones, func() {
		withTraffic("two zones restarted", func() {
			killDaemons(t, twoZones)
			begin := time.Now()
			restartDaemons(t, f, twoZones)
			started := time.Since(begin)
			took := awaitServing(t, f, twoZones, version, inForceWithin)
			t.Logf("two of three zones, log available: %d daemons started in %d ms and serve %d ms later", len(twoZones), started.Milliseconds(), took.Milliseconds())
		})
	})
	if err := f.AwaitReady(t.Context(), time.Now().Add(noNewWorkAfter)); err != nil {
		t.Fatal(err)
	}

	version = publishRoute("second")
	outage(true)
	withLookUps("second", twoZones, func() {
		withTraffic("one zone restarted in an outage", func() {
			killDaemons(t, oneZone)
			restartDaemons(t, f, oneZone)
			took := awaitServing(t, f, oneZone, version, peerStartTimeout)
			t.Logf("one of three zones, log unavailable: %d daemons serve %d ms after their start", len(oneZone), took.Milliseconds())
		})
		// Peers in a single availability zone can't tell that their state is the
		// newest.
		withTraffic("two zones restarted in an outage", func() {
			killDaemons(t, twoZones)
			restartDaemons(t, f, twoZones)
			checkNotServing(t, f, twoZones, time.Now().Add(refuseFor))
			outage(false)
			took := awaitServing(t, f, twoZones, version, inForceWithin)
			t.Logf("two of three zones, log unavailable: %d daemons refused calls and serve %d ms after the outage", len(twoZones), took.Milliseconds())
		})
	})
	if err := f.AwaitReady(t.Context(), time.Now().Add(noNewWorkAfter)); err != nil {
		t.Fatal(err)
	}

	version = publishRoute("third")
	before := awaitSame(t, f, time.Now().Add(inForceWithin))[0]
	outage(true)
	withLookUps("third", f.Nodes, func() {
		killDaemons(t, f.Nodes)
		restartDaemons(t, f, f.Nodes)
		checkNotServing(t, f, f.Nodes, time.Now().Add(refuseFor))
		outage(false)
		took := awaitServing(t, f, f.Nodes, version, inForceWithin)
		t.Logf("all zones, log unavailable: %d daemons refused calls and serve %d ms after the outage", len(f.Nodes), took.Milliseconds())
	})
	if after := awaitSame(t, f, time.Now().Add(inForceWithin))[0]; after.Version != before.Version {
		t.Errorf("got version %d after the restart of all daemons, want %d", after.Version, before.Version)
	}
	for _, err := range fleet.CheckRuns(attempts, runsOf(t, f.Nodes...)) {
		t.Error(err)
	}
	if err := f.AwaitReady(t.Context(), time.Now().Add(noNewWorkAfter)); err != nil {
		t.Fatal(err)
	}
	repeatKeyed(t, f, attempts, f.Nodes[0])
}

// naiveTraffic sends calls directly to the instances, as a baseline: round robin over
// a static list for each service, with one retry on the next instance.
type naiveTraffic struct {
	instances map[string][]*fleet.Node
	next      map[string]*atomic.Int64
}

// start starts workers that send the same kinds of calls as fleet.Traffic. The
// returned function stops them and returns the calls, each as one Attempt that also
// covers the retry.
func (nv *naiveTraffic) start(ctx context.Context, workers int, pause time.Duration) (stop func() []fleet.Attempt) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var attempts []fleet.Attempt
	ctx, cancel := context.WithCancel(ctx)
	for w := range workers {
		wg.Go(func() {
			caller := fleet.NewCaller()
			defer caller.Close()
			for i := w; ctx.Err() == nil; i++ {
				time.Sleep(pause)
				route := allRoutes[i%len(allRoutes)]
				service := "booking"
				if route.Prefix == "/archive" {
					service = "archive"
				}
				id := fmt.Sprintf("naive-%d-%d", w, i)
				r := fleet.Attempt{Call: fleet.Call{Method: route.Method, Path: route.Prefix + "?id=" + id}, Begin: time.Now()}
				if route.Keyed {
					r.Call.Key, r.Call.Body = id, []byte("body of "+id)
				}
				list := nv.instances[service]
				at := nv.next[service].Add(1)
				for attempt := range 2 {
					r.Entry = list[(int(at)+attempt)%len(list)]
					// The routes of the mesh have the same time limit for look-ups.
					callCtx, cancelCall := context.WithDeadline(context.WithoutCancel(ctx), r.Begin.Add(3*time.Second))
					r.Result, r.Err = caller.Do(callCtx, r.Entry.Address, r.Call)
					cancelCall()
					if r.Err == nil && r.Result.Status == http.StatusOK {
						break
					}
				}
				r.Took = time.Since(r.Begin)
				mu.Lock()
				attempts = append(attempts, r)
				mu.Unlock()
			}
		})
	}
	return func() []fleet.Attempt {
		cancel()
		wg.Wait()
		return attempts
	}
}

// startInstances starts instances without daemons, for direct calls.
func startInstances(t *testing.T, specs []fleet.Spec) *fleet.Fleet {
	t.Helper()
	readyBy := time.Now().Add(startTimeout)
	f, err := fleet.Start(t.TempDir(), bin, nil, readyBy)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Stop(time.Now()) })
	addrs, err := loopback.FreeAddresses(3 * len(specs))
	if err != nil {
		t.Fatal(err)
	}
	for i, spec := range specs {
		n := &fleet.Node{Spec: spec, Address: addrs[3*i], AdminAddress: addrs[3*i+1]}
		n.Settings.AnnounceAddress = addrs[3*i+2]
		f.Nodes = append(f.Nodes, n)
		if err := f.StartInstance(n, readyBy); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// Guards against calls that fail or become slow while an availability zone is taken
// out and returns with instances in cold start, against work in the zone while it is
// out, and against a lower success rate than that of callers that call the instances
// directly.
func TestZoneLeavesAndReturns(t *testing.T) {
	const (
		zone    = "nl-west-b"
		workers = 30
		pause   = 20 * time.Millisecond
		ramp    = 5 * time.Second
		// work and coldFor are long enough that cold slots limit the load. Of the 30
		// calls, two thirds are in work at any time and two thirds of these are for
		// booking, so each booking instance has about 4.4 in flight and 4 coldSlots.
		work    = 40 * time.Millisecond
		coldFor = 3 * time.Second
	)
	f := startMesh(t, meshOptions{})
	var specs []fleet.Spec
	for _, n := range f.Nodes {
		if err := fleet.Kill(n.Instance); err != nil {
			t.Fatal(err)
		}
		n.Work = work
		if err := f.StartInstance(n, time.Now().Add(startTimeout)); err != nil {
			t.Fatal(err)
		}
		specs = append(specs, n.Spec)
	}
	direct := startInstances(t, specs)
	time.Sleep(2 * time.Second) // for announcements and the first, short cold start
	if err := f.AwaitReady(t.Context(), time.Now().Add(startTimeout)); err != nil {
		t.Fatal(err)
	}
	inZone := func(f *fleet.Fleet) []*fleet.Node {
		return slices.DeleteFunc(slices.Clone(f.Nodes), func(n *fleet.Node) bool { return n.Zone != zone })
	}
	leaving, drained := inZone(f), inZone(direct)
	nv := &naiveTraffic{instances: make(map[string][]*fleet.Node), next: make(map[string]*atomic.Int64)}
	for _, n := range direct.Nodes {
		nv.instances[n.Service] = append(nv.instances[n.Service], n)
		nv.next[n.Service] = new(atomic.Int64)
	}

	stopMesh := fleet.Traffic{
		Name: t.Name(), Routes: allRoutes, Workers: workers, Pause: pause, Seed: 1,
		Entries: func() []*fleet.Node { return f.Nodes },
	}.Start(context.WithoutCancel(t.Context()))
	stopNaive := nv.start(context.WithoutCancel(t.Context()), workers, pause)
	warm := time.Now().Add(3 * time.Second) // until the limits have grown from coldSlots
	time.Sleep(time.Until(warm.Add(2 * time.Second)))

	out := time.Now()
	client(t, f, "zone", "out", zone)
	for _, n := range drained {
		if err := n.PostAdmin(t.Context(), "/drain"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(time.Until(out.Add(noNewWorkAfter)))
	before := requestCount(t, leaving...)
	time.Sleep(time.Second)
	if got := requestCount(t, leaving...) - before; got != 0 {
		t.Errorf("got %d requests in the zone later than %v after it was taken out, want 0", got, noNewWorkAfter)
	}
	// Read the counts before the kill, because they end with the process.
	meshRuns, naiveRuns := runsOf(t, leaving...), runsOf(t, drained...)
	both := append(slices.Clone(leaving), drained...)
	for _, n := range both {
		if err := fleet.Kill(n.Instance); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)

	back := time.Now()
	var wg sync.WaitGroup
	for i, n := range both {
		n.ColdFor = coldFor
		wg.Go(func() {
			owner := f
			if i >= len(leaving) {
				owner = direct
			}
			if err := owner.StartInstance(n, time.Now().Add(startTimeout)); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	client(t, f, "zone", "back", zone, "--ramp", ramp.String())
	time.Sleep(time.Until(back.Add(ramp + 2*time.Second)))
	attempts, naiveAttempts := stopMesh(), stopNaive()
	end := time.Now()

	for _, s := range []struct {
		what        string
		from, until time.Time
	}{{"while it starts", time.Time{}, warm}, {"before", warm, out}, {"while the zone is out", out, back}, {"after its return", back, end}} {
		logSummary(t, "mesh, "+s.what, attempts, s.from, s.until)
		logSummary(t, "naive, "+s.what, naiveAttempts, s.from, s.until)
	}
	meshShare := logSummary(t, "mesh, whole run", attempts, time.Time{}, end)
	naiveShare := logSummary(t, "naive, whole run", naiveAttempts, time.Time{}, end)
	if meshShare < 0.999 || meshShare < naiveShare {
		t.Errorf("got a share of %.5f of the look-ups answered, want at least 0.999 and at least the %.5f of the naive callers", meshShare, naiveShare)
	}
	if got := requestCount(t, leaving...); got == 0 {
		t.Error("the zone got no work after its return")
	}
	for _, r := range attempts {
		if r.Call.Key == "" && (r.Err != nil || r.Result.Status != http.StatusOK) {
			t.Logf("failed: %v", &r)
		}
	}

	runs := runsOf(t, f.Nodes...)
	addRuns(runs, meshRuns)
	for _, err := range fleet.CheckRuns(attempts, runs) {
		t.Error(err)
	}
	directRuns := runsOf(t, direct.Nodes...)
	addRuns(directRuns, naiveRuns)
	t.Logf("reservations that ran more than once: mesh %d of %d, naive %d of %d", countRepeatedRuns(runs), len(runs.Keys), countRepeatedRuns(directRuns), len(directRuns.Keys))
}

// countRepeatedRuns counts the keys that ran more than once.
func countRepeatedRuns(runs upstream.Runs) (n int) {
	for _, run := range runs.Keys {
		if run.Started > 1 {
			n++
		}
	}
	return n
}

func addRuns(sum, more upstream.Runs) {
	for _, m := range []struct{ to, from map[string]upstream.Run }{{sum.Keys, more.Keys}, {sum.Bodies, more.Bodies}} {
		for k, r := range m.from {
			s := m.to[k]
			m.to[k] = upstream.Run{Started: s.Started + r.Started, Completed: s.Completed + r.Completed}
		}
	}
}
