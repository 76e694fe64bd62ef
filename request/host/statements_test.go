package host

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
)

// statingUpstream is an upstream that names a rate limit in its answers, or says that it
// leaves, and records when requests arrive.
type statingUpstream struct {
	mu       sync.Mutex
	header   http.Header
	arrivals []time.Time
}

// set replaces the header of later answers.
func (u *statingUpstream) set(header http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.header = header
}

func (u *statingUpstream) serve(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	for name, values := range u.header {
		w.Header()[name] = values
	}
	u.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
}

// between returns the number of requests that arrived from one time to another.
func (u *statingUpstream) between(from, to time.Time) (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, at := range u.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// mostWithin returns the largest number of requests that arrived within any span of the
// given length after a time.
func (u *statingUpstream) mostWithin(span time.Duration, after time.Time) (most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	first := 0
	for i, at := range u.arrivals {
		for !u.arrivals[first].After(at.Add(-span)) || u.arrivals[first].Before(after) && first < i {
			first++
		}
		if !at.Before(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func newStatingHost(t *testing.T) (*Host, *statingUpstream) {
	t.Helper()
	u, g := new(statingUpstream), new(admission.Gate)
	g.SetBounds(admission.Bounds{Slots: 12})
	h := newHost(t, g, ready, u.serve)
	h.headers.RateLimit, h.headers.Leaving = "Upstream-Limit", "Upstream-Leaving"
	return h, u
}

// load sends calls at the given interval until a time, and returns the refusals.
func load(t *testing.T, h *Host, interval time.Duration, until time.Time) (refusals []*request.Refusal) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for time.Now().Before(until) {
		wg.Go(func() {
			call := newCall()
			call.Deadline = time.Now().Add(time.Second)
			call.Objective = time.Now().Add(200 * time.Millisecond)
			_, err := h.Do(t.Context(), call)
			var ref *request.Refusal
			if errors.As(err, &ref) {
				mu.Lock()
				defer mu.Unlock()
				refusals = append(refusals, ref)
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return refusals
}

// TestRateLimitNamed guards against an upstream that gets more requests per second than
// the limit that its answers name, and against a limit that outlasts them.
func TestRateLimitNamed(t *testing.T) {
	const perSecond = 20.0
	h, u := newStatingHost(t)
	u.set(http.Header{"Upstream-Limit": {"20"}})
	if _, err := h.Do(t.Context(), newCall()); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	refusals := load(t, h, 5*time.Millisecond, begin.Add(3*time.Second))
	for _, span := range []time.Duration{time.Second, 2 * time.Second} {
		if got, want := u.mostWithin(span, begin), int(1.5*perSecond*span.Seconds())+5; got > want {
			t.Errorf("got %d requests within %v, want at most %d", got, span, want)
		}
	}
	if got, want := u.between(begin, time.Now()), 48; got < want { // 0.8 of 20 a second in 3 s
		t.Errorf("got %d requests, want at least %d", got, want)
	}
	if got, want := h.Warning(), "now 20 requests per second"; !strings.Contains(got, want) {
		t.Errorf("got warning %q, want it to contain %q", got, want)
	}
	for _, ref := range refusals {
		if ref.Outcome != request.NotRun || !ref.RetryAt.After(begin) {
			t.Fatalf("got refusal %+v, want outcome notRun and a retry time", ref)
		}
	}
	u.set(nil)
	if _, err := h.Do(t.Context(), newCall()); err != nil {
		t.Fatal(err)
	}
	if refusals := load(t, h, 5*time.Millisecond, time.Now().Add(time.Second)); len(refusals) > 0 {
		t.Errorf("got %d of 200 calls refused after the limit had ended, want none", len(refusals))
	}
	if got := h.Warning(); got != "" {
		t.Errorf("got warning %q after the limit had ended, want none", got)
	}
}

// TestLeavingStated guards against requests to an upstream after an answer has said that
// it leaves. TestRefusesBeforeHandOver covers those that wait for a slot.
func TestLeavingStated(t *testing.T) {
	h, u := newStatingHost(t)
	u.set(http.Header{"Upstream-Leaving": {"1"}})
	if _, err := h.Do(t.Context(), newCall()); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	refusals := load(t, h, time.Millisecond, begin.Add(time.Second))
	if got := u.between(begin, time.Now()); got > 0 {
		t.Errorf("got %d requests after the first one, want none", got)
	}
	for _, ref := range refusals {
		if ref.Outcome != request.NotRun || ref.Reason != request.ReasonLeaving {
			t.Fatalf("got refusal %+v, want notRun and %s", ref, request.ReasonLeaving)
		}
	}
	if _, err := h.Do(context.Background(), newCall()); err == nil {
		t.Error("got an answer, want a refusal")
	}
}

// TestLimitedNotJudged guards against a version that is taken back because its instances
// are in need and name rate limits, and against one that such a limit hides for good.
func TestLimitedNotJudged(t *testing.T) {
	var w warmup
	now := time.Now()
	limited, warm := request.Load{State: stateLimited, RateLimit: 20}, request.Load{State: stateWarm}
	for _, c := range []struct {
		name                      string
		at                        time.Time
		load                      request.Load
		result                    admission.Result
		wantExcluded, wantUntimed bool
	}{
		{"warm", now, warm, admission.Result{}, false, false},
		{"limited", now, limited, admission.Result{}, false, true},
		{"limited, failed", now, limited, admission.Result{Failed: true}, false, true},
		{"limited, shed", now, limited, admission.Result{Shed: true}, true, true},
		{"limited for long", now.Add(startExclusion), limited, admission.Result{}, false, false},
		{"limit ended", now.Add(startExclusion), warm, admission.Result{}, false, false},
		{"limited again", now.Add(startExclusion), limited, admission.Result{}, false, true},
	} {
		if excluded, untimed := w.classify(c.at, c.load, c.result); excluded != c.wantExcluded || untimed != c.wantUntimed {
			t.Errorf("%s: got excluded %v and untimed %v, want %v and %v", c.name, excluded, untimed, c.wantExcluded, c.wantUntimed)
		}
	}
}
