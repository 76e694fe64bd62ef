package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/request/route"
)

// TestLeaverNotUsedAgain guards against an entry that goes on using an upstream instance
// whose answer it has passed on with the statement that the instance leaves, while the
// host does not know of it and peers do not tell.
func TestLeaverNotUsedAgain(t *testing.T) {
	names := request.DefaultHeaders
	names.Leaving = "Upstream-Leaving"
	leaving := newUpstream(t, raw("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"))
	staying := newUpstream(t, raw("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nok"))
	m := newMesh(t, meshOptions{entry: []Option{WithHeaders(names)}}, leaving.addr(), staying.addr())
	passed := 0
	for i := range 40 {
		res := m.call(t, http.MethodPost, fmt.Sprintf("/reserve/%d", i), "x")
		if res.status != http.StatusOK {
			t.Fatalf("got status %d, want 200", res.status)
		}
		if res.header.Get("Upstream-Leaving") == "1" {
			passed++
		}
	}
	if passed != 1 {
		t.Errorf("passed on %d answers of the instance that leaves, want 1", passed)
	}
}

// TestLeavers guards against an instance that is not used because the one that ran before
// it at the same place left, and against instances that are remembered forever.
func TestLeavers(t *testing.T) {
	var l leavers
	now := time.Now()
	first := route.Instance{Name: "d-1", UpstreamID: "i", UpstreamIncarnation: 5}
	l.add(&first, now)
	for _, c := range []struct {
		inst route.Instance
		want bool
	}{
		{first, true},
		{route.Instance{Name: "d-2", UpstreamID: "i", UpstreamIncarnation: 5}, false},
		{route.Instance{Name: "d-1", UpstreamID: "i", UpstreamIncarnation: 6}, false},
		{route.Instance{Name: "d-1", UpstreamID: "j", UpstreamIncarnation: 5}, false},
	} {
		if got := l.contains(&c.inst); got != c.want {
			t.Errorf("%+v: got %v, want %v", c.inst, got, c.want)
		}
	}
	l.add(&route.Instance{Name: "d-2"}, now.Add(leaverMemory+time.Second))
	if got := len(*l.byName.Load()); got != 1 {
		t.Errorf("got %d remembered instances after their time, want 1", got)
	}
}
