package host

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/admission"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

type fixedView struct{ snap *control.Snapshot }

func (v fixedView) Snapshot() *control.Snapshot { return v.snap }

// openLimiter admits all calls and runs a function before each.
type openLimiter struct {
	mu       sync.Mutex
	before   func()
	inFlight int
}

func (l *openLimiter) Acquire(context.Context, admission.Order, []string, time.Time) (admission.Ticket, error) {
	if l.before != nil {
		l.before()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	return admission.Ticket{}, nil
}

func (l *openLimiter) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

func (l *openLimiter) Done(time.Time, admission.Ticket, admission.Result) { l.end() }
func (l *openLimiter) Cancel(time.Time, admission.Ticket)                 { l.end() }
func (l *openLimiter) Load() (int, int, int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, 0, 100, false
}

func newHost(t *testing.T, l Limiter, self membership.Member, upstream http.HandlerFunc) *Host {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(request.HeaderUpstreamRequest, r.Header.Get(request.HeaderUpstreamRequest))
		upstream(w, r)
	}))
	t.Cleanup(srv.Close)
	h := New(fixedView{&control.Snapshot{State: &fold.State{Zones: map[string]fold.Zone{"out": {Out: true}}}, Self: self, Serving: true}}, l)
	h.SetUpstream(Upstream{Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), Connections: 120})
	return h
}

func newCall() *request.Call {
	return &request.Call{ID: "id", Method: http.MethodPost, Path: "/reserve", Body: []byte("body"), Deadline: time.Now().Add(5 * time.Second), UpstreamVersion: "v1"}
}

var ready = membership.Member{Name: "h", Zone: "a", Version: "v1", State: membership.Ready}

// TestRefusesBeforeHandOver guards against a call that is sent to the upstream although
// the instance must not run it, also if that changed while the call was queued.
func TestRefusesBeforeHandOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *Host, self *membership.Member, call *request.Call)
		reason request.Reason
	}{
		{"draining", func(_ *Host, self *membership.Member, _ *request.Call) { self.State = membership.Draining }, request.ReasonLeaving},
		{"leaving", func(h *Host, _ *membership.Member, _ *request.Call) { _ = h.Drain(cancelled()) }, request.ReasonLeaving},
		{"leavingStated", func(h *Host, _ *membership.Member, _ *request.Call) { h.target.Load().leaving.Store(true) }, request.ReasonLeaving},
		{"starting", func(_ *Host, self *membership.Member, _ *request.Call) { self.State = membership.Starting }, request.ReasonNotReady},
		{"zoneOut", func(_ *Host, self *membership.Member, _ *request.Call) { self.Zone = "out" }, request.ReasonZoneOut},
		{"version", func(_ *Host, self *membership.Member, _ *request.Call) { self.Version = "v2" }, request.ReasonWrongVersion},
		{"upstream", func(_ *Host, self *membership.Member, call *request.Call) {
			self.Service, call.Upstream = "other", "booking"
		}, request.ReasonWrongVersion},
		{"deadline", func(_ *Host, _ *membership.Member, call *request.Call) { call.Deadline = time.Now() }, request.ReasonDeadline},
		{"runBy", func(_ *Host, _ *membership.Member, call *request.Call) { call.RunBy = time.Now() }, request.ReasonDeadline},
	} {
		for _, inQueue := range []bool{false, true} {
			ran := false
			l := new(openLimiter)
			h := newHost(t, l, ready, func(http.ResponseWriter, *http.Request) { ran = true })
			call := newCall()
			change := func() { c.change(h, &h.view.Snapshot().Self, call) }
			if inQueue {
				l.before = change
			} else {
				change()
			}
			_, err := h.Do(t.Context(), call)
			var ref *request.Refusal
			if !errors.As(err, &ref) || ref.Outcome != request.NotRun || ref.Reason != c.reason {
				t.Errorf("%s, in the queue %v: got %v, want notRun %s", c.name, inQueue, err, c.reason)
			}
			if ran || l.inFlight != 0 {
				t.Errorf("%s, in the queue %v: ran %v, slots in use %d", c.name, inQueue, ran, l.inFlight)
			}
		}
	}
}

func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestDrain guards against a daemon that stops while a call runs or a long
// answer is streamed, and against a call that arrives during the wait.
func TestDrain(t *testing.T) {
	var l openLimiter
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	h := newHost(t, &l, ready, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			arrived <- struct{}{}
			<-release
		}
		if r.URL.Path == "/long" {
			_, _ = io.WriteString(w, strings.Repeat("x", 2*request.MaxBody))
		}
	})
	long := newCall()
	long.Path = "/long"
	ans, err := h.Do(t.Context(), long)
	if err != nil || ans.Rest == nil {
		t.Fatalf("got %+v, %v, want a streamed answer", ans, err)
	}
	slow := make(chan error, 1)
	go func() {
		call := newCall()
		call.Path = "/slow"
		_, err := h.Do(t.Context(), call)
		slow <- err
	}()
	<-arrived
	drained := make(chan error, 1)
	go func() { drained <- h.Drain(t.Context()) }()
	for !h.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	// Calls keep arriving, also at the moment when the last one ends.
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				var ref *request.Refusal
				if _, err := h.Do(t.Context(), newCall()); !errors.As(err, &ref) || ref.Reason != request.ReasonLeaving {
					t.Errorf("got %v, want leaving", err)
				}
			}
		})
	}
	close(release)
	if err := <-slow; err != nil {
		t.Error(err)
	}
	wg.Wait()
	h.calls.mu.Lock()
	if h.calls.n != 1 {
		t.Errorf("%d calls in flight, want the streamed answer", h.calls.n)
	}
	h.calls.mu.Unlock()
	select {
	case <-drained:
		t.Fatal("drained while an answer was streamed")
	default:
	}
	if n, err := io.Copy(io.Discard, ans.Rest); err != nil || n+int64(len(ans.Body)) != 2*request.MaxBody {
		t.Errorf("got %d bytes, %v", n, err)
	}
	_ = ans.Rest.Close()
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if l.inFlight != 0 {
		t.Errorf("%d slots in use", l.inFlight)
	}
}

// TestRunByWhileWaiting guards against a keyed call that is sent to the upstream after
// its claim no longer allows it, because it waited for a connection.
func TestRunByWhileWaiting(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	var late atomic.Int64
	h := newHost(t, new(openLimiter), ready, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			late.Add(1)
			return
		}
		arrived <- struct{}{}
		<-release
	})
	h.SetUpstream(Upstream{Address: h.target.Load().Address, Connections: 2}) // one connection in addition to that for probes
	first := make(chan error, 1)
	go func() {
		_, err := h.Do(t.Context(), newCall())
		first <- err
	}()
	<-arrived
	call := newCall()
	call.Path, call.RunBy = "/late", time.Now().Add(100*time.Millisecond)
	go func() {
		time.Sleep(time.Until(call.RunBy) + time.Second)
		close(release)
	}()
	_, err := h.Do(t.Context(), call)
	var ref *request.Refusal
	if !errors.As(err, &ref) || ref.Outcome != request.NotRun || late.Load() != 0 {
		t.Errorf("got %v, ran %d times, want notRun", err, late.Load())
	}
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// TestUnreadAnswer guards against a caller that does not read its long answer
// and holds a slot of the instance beyond the deadline.
func TestUnreadAnswer(t *testing.T) {
	var l openLimiter
	h := newHost(t, &l, ready, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 8*request.MaxBody))
	})
	call := newCall()
	call.Deadline = time.Now().Add(300 * time.Millisecond)
	ans, err := h.Do(t.Context(), call)
	if err != nil || ans.Rest == nil {
		t.Fatalf("got %+v, %v, want a streamed answer", ans, err)
	}
	if n, _, _, _ := l.Load(); n != 1 {
		t.Errorf("%d slots in use while the answer is streamed, want 1", n)
	}
	ctx, cancel := context.WithDeadline(t.Context(), call.Deadline.Add(time.Second))
	defer cancel()
	if err := h.Drain(ctx); err != nil {
		t.Errorf("a second after the deadline: %v", err)
	}
	if n, _, _, _ := l.Load(); n != 0 {
		t.Errorf("%d slots in use after the deadline", n)
	}
	_ = ans.Rest.Close()
}

// sampleObserver records the samples of finished calls.
type sampleObserver struct{ samples []request.Sample }

func (*sampleObserver) Started(*request.Call) {}
func (o *sampleObserver) Finished(_ *request.Call, s request.Sample) {
	o.samples = append(o.samples, s)
}

// TestCompletion guards against an answer that counts as the completion of a request,
// which clears it of earlier crashes, although the upstream refused or failed it.
func TestCompletion(t *testing.T) {
	for _, c := range []struct {
		status int
		notRun bool
		want   bool
	}{
		{http.StatusOK, false, true},
		{http.StatusNotFound, false, true},
		{http.StatusTooManyRequests, false, false},
		{http.StatusServiceUnavailable, false, false},
		{http.StatusInternalServerError, false, false},
		{http.StatusGatewayTimeout, false, false},
		{http.StatusBadRequest, true, false},
		{http.StatusMisdirectedRequest, true, false},
	} {
		o := new(sampleObserver)
		h := newHost(t, new(openLimiter), ready, func(w http.ResponseWriter, _ *http.Request) {
			if c.notRun {
				w.Header().Set("Not-Run", "1")
			}
			w.WriteHeader(c.status)
		})
		h.observer, h.headers.NotRun = o, "Not-Run"
		_, _ = h.Do(t.Context(), newCall()) // a refusal for some answers
		if len(o.samples) != 1 || o.samples[0].Completed != c.want {
			t.Errorf("status %d, not run %v: got samples %+v, want completed %v", c.status, c.notRun, o.samples, c.want)
		}
	}
}

// TestMalformedStatus guards against an answer whose status is none and that is no evidence
// against the version of the upstream, or that counts as the sign of a crash.
func TestMalformedStatus(t *testing.T) {
	for _, status := range []string{"000", "20", "2000", "600", "+20"} {
		o := new(sampleObserver)
		h := newHost(t, new(openLimiter), ready, func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nRequest-Id: id\r\nContent-Length: 0\r\n\r\n")
			_ = c.Close()
		})
		h.observer = o
		_, err := h.Do(t.Context(), newCall())
		var ref *request.Refusal
		if !errors.As(err, &ref) || ref.Outcome != request.Unknown || ref.Reason != request.ReasonMismatch {
			t.Errorf("status %s: got %v, want unknown and answerMismatch", status, err)
		}
		if len(o.samples) != 1 || !o.samples[0].Failed || o.samples[0].Lost || o.samples[0].Completed || o.samples[0].Excluded {
			t.Errorf("status %s: got samples %+v, want one that failed", status, o.samples)
		}
	}
}

// TestWriteAnswerStatus guards against an answer with a status that net/http does not
// write, such as one that was stored without a status, and that breaks the connection.
func TestWriteAnswerStatus(t *testing.T) {
	for _, status := range []int{0, 20, 100, 199, 600, 1000} {
		w := httptest.NewRecorder()
		if err := WriteAnswer(w, &request.Answer{Status: status, Body: []byte("x"), Outcome: request.Replayed}, ""); err != nil {
			t.Error(err)
		}
		if got := w.Result(); got.StatusCode != http.StatusBadGateway || got.Header.Get(request.HeaderOutcome) != string(request.Unknown) || w.Body.Len() > 0 {
			t.Errorf("status %d: got %d %s %q, want 502, unknown and no body", status, got.StatusCode, got.Header.Get(request.HeaderOutcome), w.Body)
		}
	}
}
