package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/dependency"
)

func failWith(code int) func(net.Conn, *http.Request, []byte) {
	return raw(fmt.Sprintf("HTTP/1.1 %d Failed\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\nfail", code))
}

// TestServerError guards against a server error that reaches the caller where another
// instance could have answered, and against one that is replaced by a refusal where
// none could.
func TestServerError(t *testing.T) {
	failing, good := newUpstream(t, failWith(500)), newUpstream(t, echo)
	for i := range 10 {
		m := newMesh(t, meshOptions{}, failing.addr(), good.addr())
		path := fmt.Sprintf("/timely/%d", i)
		if got := m.call(t, http.MethodGet, path, ""); got.status != 200 || got.body != path {
			t.Errorf("%s: got %d %q", path, got.status, got.body)
		}
		path = fmt.Sprintf("/reserve/%d", i)
		if got := m.call(t, http.MethodPost, path, "x"); failing.ran(path)+good.ran(path) != 1 || got.status != 200 && got.body != "fail" {
			t.Errorf("%s: got %d %q after %d runs", path, got.status, got.body, failing.ran(path)+good.ran(path))
		}
	}
	m := newMesh(t, meshOptions{}, failing.addr(), failing.addr())
	if got := m.call(t, http.MethodGet, "/timely/all", ""); got.status != 500 || got.body != "fail" {
		t.Errorf("got %d %q, want the answer of the upstream", got.status, got.body)
	}
	if n := failing.ran("/timely/all"); n != 2 {
		t.Errorf("reached %d instances, want 2", n)
	}
}

// TestSilentInstance guards against a request that waits for a silent instance until
// its deadline, and against one that is abandoned while no other attempt is allowed.
func TestSilentInstance(t *testing.T) {
	silent := newUpstream(t, func(net.Conn, *http.Request, []byte) {})
	slow := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
		time.Sleep(answerWithin * 2 / 3)
		echo(c, r, body)
	})
	good := newUpstream(t, echo)
	for i := range 4 {
		m := newMesh(t, meshOptions{}, silent.addr(), good.addr())
		path := fmt.Sprintf("/timely/%d", i)
		began := time.Now()
		if got := m.call(t, http.MethodGet, path, ""); got.status != 200 {
			t.Errorf("%s: got %d %s %s", path, got.status, got.outcome(), got.reason())
		}
		if took := time.Since(began); took > answerWithin*2/3 {
			t.Errorf("%s took %v", path, took)
		}
	}
	// With a single instance there is no other one to try.
	m := newMesh(t, meshOptions{}, slow.addr())
	if got := m.call(t, http.MethodGet, "/timely/slow", ""); got.status != 200 || slow.ran("/timely/slow") != 1 {
		t.Errorf("got %d after %d runs", got.status, slow.ran("/timely/slow"))
	}
}

// TestNotGivenUpForRefusal guards against a silent instance that is abandoned in favour of
// one that says that it refuses the class.
func TestNotGivenUpForRefusal(t *testing.T) {
	slow := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
		time.Sleep(answerWithin * 2 / 3)
		echo(c, r, body)
	})
	other := newUpstream(t, echo)
	m := newMesh(t, meshOptions{entry: []Option{WithCallRanks(new(dependency.Learner))}}, slow.addr(), other.addr())
	report := func() {
		m.entry.loads.start("booking-1")
		m.entry.loads.finish("booking-1", "timely", &request.Answer{Load: request.Load{InFlight: 10, Limit: 10, Admits: 2}}, nil, time.Now())
	}
	for range 40 {
		m.entry.budget("booking").RequestRanked(time.Now(), 20, 0, 1, 0)
	}
	report()
	// The report must be valid when the attempt at the slow instance has lasted for half of
	// the time.
	again := time.AfterFunc(answerWithin/2-reportLifetime/2, report)
	defer again.Stop()
	if got := m.call(t, http.MethodGet, "/timely/1", ""); got.status != 200 || slow.ran("/timely/1") != 1 || other.ran("/timely/1") != 0 {
		t.Errorf("got %d after %d runs and %d at the other instance, want one run", got.status, slow.ran("/timely/1"), other.ran("/timely/1"))
	}
}

// TestGivenUpForAnother guards against a silent instance that is abandoned in favour of
// another one which is then not tried, because it has become saturated.
func TestGivenUpForAnother(t *testing.T) {
	silent := newUpstream(t, func(net.Conn, *http.Request, []byte) {})
	good := newUpstream(t, echo)
	silentAsked := false
	for i := 0; i < 20 && !silentAsked; i++ {
		m := newMesh(t, meshOptions{}, silent.addr(), good.addr())
		path := fmt.Sprintf("/timely/%d", i)
		// Between the decision and the attempt the other instance becomes saturated.
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					if m.metrics.Get("entry.retries") > 0 {
						return
					}
					if silent.ran(path) > 0 && i%2 == 0 {
						time.Sleep(answerWithin/2 + 5*time.Millisecond)
						m.entry.loads.finish("booking-1", "", nil, &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonOverload}, time.Now())
					}
					time.Sleep(time.Millisecond)
				}
			}
		}()
		got := m.call(t, http.MethodGet, path, "")
		close(stop)
		silentAsked = silent.ran(path) > 0
		if got.status != 200 {
			t.Errorf("%s: got %d %s %s", path, got.status, got.outcome(), got.reason())
		}
	}
	if !silentAsked {
		t.Error("the silent instance received no request, so the test does not exercise the fault")
	}
}

// TestSlowRequest guards against a request that is abandoned although its instance is
// working, as its answers to other requests show.
func TestSlowRequest(t *testing.T) {
	busy := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			time.Sleep(answerWithin * 2 / 3)
		}
		echo(c, r, body)
	})
	m := newMesh(t, meshOptions{}, busy.addr(), busy.addr())
	stop := make(chan struct{})
	var wg sync.WaitGroup
	// Make enough concurrent calls that both instances answer some.
	for range 8 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					m.call(t, http.MethodGet, "/timely/quick", "")
				}
			}
		})
	}
	got := m.call(t, http.MethodGet, "/timely/slow", "")
	close(stop)
	wg.Wait()
	if got.status != 200 || busy.ran("/timely/slow") != 1 {
		t.Errorf("got %d after %d runs, want one", got.status, busy.ran("/timely/slow"))
	}
}

// TestFailingInstance guards against an instance that fails some of its requests and
// still gets as many as the others, and against one that is avoided forever.
func TestFailingInstance(t *testing.T) {
	var l loads
	now := time.Now()
	for range 40 {
		l.start("bad")
		l.finish("bad", "", &request.Answer{Status: 500}, nil, now)
		l.start("good")
		l.finish("good", "", &request.Answer{Status: 200}, nil, now)
	}
	bad, _ := l.Ratio("bad", now)
	good, _ := l.Ratio("good", now)
	if bad <= 4*max(good, idleRatio) {
		t.Errorf("got ratios %.2f and %.2f", bad, good)
	}
	if later, _ := l.Ratio("bad", now.Add(10*failureDecay)); later > 2*idleRatio {
		t.Errorf("got ratio %.2f long after the last failure", later)
	}
}

// TestFractionalRetryTime guards against a Retry-After header that is rounded up to a
// time later than that of the refusal.
func TestFractionalRetryTime(t *testing.T) {
	n := request.DefaultHeaders
	n.FractionalRetryTime = true
	m := newMesh(t, meshOptions{entry: []Option{WithHeaders(n)}})
	got := m.call(t, http.MethodGet, "/slots/1", "")
	if got.status != 503 || !strings.Contains(got.header.Get("Retry-After"), ".") {
		t.Errorf("got %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	_, _ = io.WriteString(io.Discard, got.body)
}

// TestStoppingDaemonCutsNoCall guards against a planned stop that cuts a call at which
// the upstream is at work: three requests that stopping daemons had taken got 502 on one
// day, because their instance was abandoned and the other one had no room.
func TestStoppingDaemonCutsNoCall(t *testing.T) {
	slow := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
		time.Sleep(answerWithin * 2 / 3)
		echo(c, r, body)
	})
	m := newMesh(t, meshOptions{}, slow.addr(), slow.addr())
	m.entry.Leave(time.Now().Add(2 * answerWithin))
	if got := m.call(t, http.MethodGet, "/timely/slow", ""); got.status != 200 || slow.ran("/timely/slow") != 1 {
		t.Errorf("got %d after %d runs, want the answer of the first run", got.status, slow.ran("/timely/slow"))
	}
}
