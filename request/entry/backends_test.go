package entry

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/host"
	"github.com/kingcuppitch/kingcuppitch/request/route"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
)

// backendHost stands for the daemons of one upstream. It serves at most room calls and
// refuses all others as not run.
type backendHost struct {
	mu              sync.Mutex
	room            int
	served, refused int
}

func (b *backendHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	ok := b.served < b.room
	if ok {
		b.served++
	} else {
		b.refused++
	}
	b.mu.Unlock()
	id := r.Header.Get(request.HeaderRequest)
	w.Header().Set(request.HeaderRequest, id)
	if !ok {
		ref := &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonOverload, RetryAt: time.Now().Add(time.Second)}
		request.EncodeRefusal(ref, w.Header())
		w.WriteHeader(request.StatusOf(ref))
		return
	}
	ans := &request.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("done"), Outcome: request.Ran}
	_ = host.WriteAnswer(w, ans, id)
}

func startBackend(t *testing.T, b *backendHost) netip.AddrPort {
	t.Helper()
	srv := httptest.NewUnstartedServer(b)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// TestBackendShortOfRoom guards against requests of a weighted part that are moved to
// another part because their own has no room, and against shares that follow the room
// instead of the weights, while the weights change under load.
func TestBackendShortOfRoom(t *testing.T) {
	const requests = 600
	hosts := map[string]*backendHost{"large": {room: math.MaxInt}, "small": {room: 20}}
	var members []membership.Member
	for name, b := range hosts {
		members = append(members, membership.Member{
			Name: name + "-1", Zone: "a", Region: "r", Service: name, Version: "v1", State: membership.Ready, Peer: startBackend(t, b),
		})
	}
	snapshot := func(large, small float64) *control.Snapshot {
		st := &fold.State{Version: 1, Zones: make(map[string]fold.Zone)}
		st.Config = config.Config{
			Zones: []config.Zone{{Name: "a", Region: "r"}},
			Upstreams: []config.Upstream{
				{Name: "large", Versions: []string{"v1"}, Active: "v1", Slots: 10, ColdSlots: 10, Connections: 20},
				{Name: "small", Versions: []string{"v1"}, Active: "v1", Slots: 10, ColdSlots: 10, Connections: 20},
			},
			Routes: []config.Route{{
				Name: "split", Prefix: "/", Class: "c", AnswerWithin: config.Duration(5 * time.Second), Attempts: 2,
				Backends: []config.Backend{{Upstream: "large", Weight: large}, {Upstream: "small", Weight: small}},
			}},
		}
		return &control.Snapshot{State: st, Table: route.NewTable(st, members, "a", "r"), Serving: true}
	}
	view := new(changingView)
	e := New(view, nil)
	defer e.Close()
	for _, share := range []float64{0.1, 0.5} {
		view.Store(snapshot(1-share, share))
		before := *counts(hosts)
		ok, refused := 0, 0
		for i := range requests {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, fmt.Sprintf("/%d", i), nil))
			switch {
			case w.Code == http.StatusOK:
				ok++
			case w.Code == http.StatusServiceUnavailable && w.Header().Get(request.HeaderOutcome) == string(request.NotRun):
				refused++
			default:
				t.Fatalf("got status %d %s, want an answer or a refusal that has not run", w.Code, w.Body)
			}
		}
		now := *counts(hosts)
		large, small := now.large-before.large, now.small-before.small
		if ok != large+small {
			t.Errorf("share %v: got %d answers, want %d, one for each run", share, ok, large+small)
		}
		// Four standard deviations of the number of requests of the small part.
		tolerance := 4 * math.Sqrt(requests*share*(1-share))
		if got, want := float64(requests-large), share*requests; math.Abs(got-want) > tolerance {
			t.Errorf("share %v: %v requests for the small part, want %v (within %.0f)", share, got, want, tolerance)
		}
		if got, want := refused, requests-large-small; got != want {
			t.Errorf("share %v: got %d refusals, want %d: what does not fit into the small part", share, got, want)
		}
	}
	if got := counts(hosts).small; got != hosts["small"].room {
		t.Errorf("the small part served %d, want its room %d", got, hosts["small"].room)
	}
}

// runs counts the calls that each part has served.
type runs struct{ large, small int }

func counts(hosts map[string]*backendHost) *runs {
	served := func(name string) int {
		b := hosts[name]
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.served
	}
	return &runs{large: served("large"), small: served("small")}
}
