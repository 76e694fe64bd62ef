package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
	"github.com/kingcuppitch/kingcuppitch/standin/upstream"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

// Guards against callers that receive crossed or truncated answers and against
// reservations that run twice. Upstreams cross, truncate and delay answers, an
// instance falls silent, the log loses answers, and callers repeat reservations
// whose outcome is unknown.
func TestFaultyUpstreamsAndLostAnswers(t *testing.T) {
	t.Parallel()
	f := startMesh(t, meshOptions{})
	faults := upstream.Faults{Crossed: 0.02, Truncated: 0.02, Late: 0.02, LateMs: 500}
	for _, n := range f.Nodes {
		if err := n.SetFaults(t.Context(), faults); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.SetLogFaults(t.Context(), logservice.Faults{LoseAnswers: 0.2, LatencyMs: 5}); err != nil {
		t.Fatal(err)
	}
	tr := startTraffic(t, f, allRoutes)
	time.Sleep(2 * time.Second)
	if err := f.Nodes[len(f.Nodes)-1].PostAdmin(t.Context(), "/silence"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	attempts := tr.stop()
	checkCalls(t, f, attempts, func(r *fleet.Attempt) bool {
		// All attempts of a look-up may fail. The share of these is checked below.
		return r.Err == nil && r.Result.Status != http.StatusOK
	})
	failed, sum := 0, 0
	for _, r := range attempts {
		if r.Call.Key == "" {
			sum++
			if r.Result.Status != http.StatusOK {
				failed++
			}
		}
	}
	if failed*50 > sum {
		t.Errorf("got %d of %d look-ups failed, want at most 2 %%", failed, sum)
	}
}

// Guards against a request that crashes one instance after the other when its
// caller repeats it, and against a quarantine of requests that were in flight at the
// same time.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	f := startMesh(t, meshOptions{})
	for _, n := range f.Nodes {
		if err := n.SetFaults(t.Context(), upstream.Faults{CrashBody: "crash", CrashForMs: 300}); err != nil {
			t.Fatal(err)
		}
	}
	tr := startTraffic(t, f, lookUpRoutes)
	caller := fleet.NewCaller()
	defer caller.Close()
	last := fleet.Result{}
	for i := range 8 {
		var err error
		last, err = caller.Do(t.Context(), f.Nodes[i%len(f.Nodes)].Settings.CallerAddress,
			fleet.Call{Method: http.MethodPost, Path: "/reservations", Body: []byte("crash")})
		if err != nil {
			t.Errorf("attempt %d: %v", i, err)
		}
		time.Sleep(time.Second) // until the crash reports have reached all daemons
	}
	if last.Status != http.StatusUnprocessableEntity || last.Outcome != request.NotRun {
		t.Errorf("got status %d, outcome %q, want 422 and notRun", last.Status, last.Outcome)
	}
	runs, err := f.Runs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got := runs.Bodies[upstream.Hash([]byte("crash"))].Started; got != 2 {
		t.Errorf("got %d runs of the crashing request, want 2", got)
	}
	checkCalls(t, f, tr.stop(), func(r *fleet.Attempt) bool {
		// All attempts of a look-up in flight at the crash may fail, but none is
		// quarantined because of it.
		return r.Err == nil && r.Result.Status != http.StatusUnprocessableEntity
	})
}

// goodMoveLength and badMoveLength are the durations of the moves. A stage takes a
// fifth of the move and must be longer than the 5 s windows in which daemons count
// samples. A move to a bad version ends at the verdict, so its length only limits the
// test on a busy machine.
const (
	goodMoveLength = 30 * time.Second
	badMoveLength  = 40 * time.Second
)

// moveWorkers is the number of workers during a move. They send about 500 calls a
// second on an idle machine, which gives a version with a share of 1 % enough samples
// for a verdict within a few windows.
const moveWorkers = 16

// moveBooking starts a move of booking from v1 to v2, waits for its end and returns
// its final status.
func moveBooking(t *testing.T, f *fleet.Fleet, within time.Duration) *wirev1.MoveStatus {
	t.Helper()
	client(t, f, "move", "start", "booking", "--from", "v1", "--to", "v2", "--within", within.String())
	until := time.Now().Add(within + inForceWithin)
	for {
		s, err := f.Status(t.Context(), f.Nodes[0])
		if err == nil && len(s.Moves) > 0 && s.Moves[0].State != "running" {
			return s.Moves[0]
		}
		if time.Now().After(until) {
			t.Fatalf("the move has not ended: %v, %v", s.GetMoves(), err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func bookingRequests(t *testing.T, f *fleet.Fleet, version string) int64 {
	t.Helper()
	var nodes []*fleet.Node
	for _, n := range f.Nodes {
		if n.Service == "booking" && n.Version == version {
			nodes = append(nodes, n)
		}
	}
	return requestCount(t, nodes...)
}

// Guards against a bad version that gets more than a small share of the traffic, or
// any traffic after the verdict.
func TestBadVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	testBadVersion(t, meshOptions{secondVersion: true, alwaysWarm: true})
}

// Guards against a bad version that gets no verdict because its fault keeps its
// instances in cold start.
func TestBadVersionWithColdStartIsTakenBack(t *testing.T) {
	t.Parallel()
	testBadVersion(t, meshOptions{secondVersion: true})
}

func testBadVersion(t *testing.T, m meshOptions) {
	f := startMesh(t, m)
	for _, n := range f.Nodes {
		if n.Version == "v2" {
			if err := n.SetFaults(t.Context(), upstream.Faults{ErrorRatio: 0.5, PathPrefix: "/slots"}); err != nil {
				t.Fatal(err)
			}
		}
	}
	tr := startWorkers(t, f, lookUpRoutes[:1], moveWorkers)
	begin := time.Now()
	ended := moveBooking(t, f, badMoveLength)
	t.Logf("move ended after %v: %s, %s", time.Since(begin).Round(time.Millisecond), ended.State, ended.Reason)
	if ended.State != "takenBack" || ended.Share != 0 {
		t.Errorf("got state %s with share %v, want takenBack with 0", ended.State, ended.Share)
	}
	time.Sleep(time.Second) // until calls in flight have ended and the verdict has reached all daemons
	bad, good := bookingRequests(t, f, "v2"), bookingRequests(t, f, "v1")
	if bad*10 > good {
		t.Errorf("got %d requests on the bad version and %d on the good one, want at most 10 %%", bad, good)
	}
	time.Sleep(2 * time.Second)
	if got := bookingRequests(t, f, "v2") - bad; got != 0 {
		t.Errorf("got %d requests on the bad version after the verdict, want 0", got)
	}
	checkCalls(t, f, tr.stop(), func(r *fleet.Attempt) bool { return r.Err == nil && r.Result.Status == http.StatusInternalServerError })
}

// Guards against a move to a good version that is taken back or not done in time,
// and against calls that fail during the move.
func TestGoodVersionIsDoneInTime(t *testing.T) {
	t.Parallel()
	testGoodVersion(t, meshOptions{secondVersion: true, alwaysWarm: true})
}

// Guards against a move that waits for instances to leave cold start: they need more
// requests for that than they get in the first stages.
func TestGoodVersionWithColdStartIsDoneInTime(t *testing.T) {
	t.Parallel()
	testGoodVersion(t, meshOptions{secondVersion: true})
}

func testGoodVersion(t *testing.T, m meshOptions) {
	f := startMesh(t, m)
	tr := startWorkers(t, f, lookUpRoutes[:1], moveWorkers)
	t.Cleanup(func() {
		if t.Failed() {
			out, err := f.Client(context.Background(), "timeline")
			t.Log(out, err)
		}
	})
	ended := moveBooking(t, f, goodMoveLength)
	if ended.State != "done" {
		t.Errorf("got state %s (%s), want done", ended.State, ended.Reason)
	}
	time.Sleep(time.Second)
	before := bookingRequests(t, f, "v1")
	time.Sleep(time.Second)
	if got := bookingRequests(t, f, "v1") - before; got != 0 {
		t.Errorf("got %d requests on the old version after the move, want 0", got)
	}
	attempts := tr.stop()
	checkCalls(t, f, attempts, nil)
	t.Log(answersBySecond(attempts))
}

// answersBySecond prints the number of answers of booking for each second and
// version.
func answersBySecond(attempts []fleet.Attempt) string {
	counts := make(map[int]map[string]int)
	last := 0
	for _, r := range attempts {
		if r.Result.Status == http.StatusOK && r.Call.Path[:2] != "/a" {
			last = int(r.Begin.Sub(attempts[0].Begin).Seconds())
			if counts[last] == nil {
				counts[last] = make(map[string]int)
			}
			counts[last][r.Result.Answer.Version]++
		}
	}
	s := "answers of v1/v2 by second:"
	for i := range last + 1 {
		s += fmt.Sprintf(" %s/%s", strconv.Itoa(counts[i]["v1"]), strconv.Itoa(counts[i]["v2"]))
	}
	return s
}
