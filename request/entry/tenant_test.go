package entry

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/version/config"
)

var twoTenants = []config.Tenant{
	{Name: "acme", Keys: []string{config.KeyDigest("key-acme")}, Class: "vip"},
	{Name: "zeta", Keys: []string{config.KeyDigest("key-zeta")}},
}

// TestTenants guards against a request that runs without a key or for a tenant that its
// caller only claims to be, against a key that reaches an upstream, and against an answer
// that tells a caller without a key more than that the key is unknown.
func TestTenants(t *testing.T) {
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		var mu sync.Mutex
		var seen http.Header
		up := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
			mu.Lock()
			seen = r.Header
			mu.Unlock()
			echo(c, r, body)
		})
		// The route slots is public.
		m := newMesh(t, meshOptions{local: local, tenants: twoTenants}, up.addr())
		large := strings.Repeat("x", request.MaxBody+1)
		for _, tt := range []struct {
			name, path, body string
			authorization    string
			status           int
			// tenant and passed are what the upstream receives as the tenant and as credentials.
			tenant, passed string
		}{
			{"no route", "/none", "", "", 404, "", ""},
			{"internal route", "/archive", "", "", 403, "", ""},
			{"no key", "/reserve/1", "x", "", 401, "", ""},
			{"unknown key", "/reserve/1", "x", "Bearer key-x", 401, "", ""},
			{"no key and a body that is too large", "/reserve/1", large, "", 401, "", ""},
			{"key and a body that is too large", "/reserve/1", large, "Bearer key-acme", 413, "", ""},
			{"key", "/reserve/1", "x", "Bearer key-acme", 200, "acme", ""},
			{"key of another tenant", "/reserve/1", "x", "bearer key-zeta", 200, "zeta", ""},
			{"public", "/slots/1", "", "", 200, "", ""},
			{"public, key", "/slots/1", "", "Bearer key-zeta", 200, "zeta", ""},
			{"public, unknown key", "/slots/1", "", "Bearer key-x", 200, "", ""},
			{"public, other credentials", "/slots/1", "", "Basic YTpi", 200, "", "Basic YTpi"},
		} {
			before := up.ran(tt.path)
			header := []string{request.HeaderTenant, "forged", "Kingcuppitch-Call-Tenant", "forged"}
			if tt.authorization != "" {
				header = append(header, "Authorization", tt.authorization)
			}
			got := m.call(t, http.MethodPost, tt.path, tt.body, header...)
			if got.err != nil || got.status != tt.status {
				t.Errorf("%s: got %d %.200s %v, want %d", tt.name, got.status, got.body, got.err, tt.status)
				continue
			}
			if tt.status == http.StatusUnauthorized {
				checkRefusal(t, tt.name, got, 401, request.NotRun, request.ReasonUnknownKey)
				if got.header.Get("Retry-After") != "" || got.header.Get("WWW-Authenticate") == "" || strings.Contains(got.body, "key-") {
					t.Errorf("%s: got header %v and body %s", tt.name, got.header, got.body)
				}
			}
			if tt.status != http.StatusOK {
				if n := up.ran(tt.path); n != before {
					t.Errorf("%s: refused, but ran", tt.name)
				}
				continue
			}
			mu.Lock()
			if tenant, passed := seen.Get(request.HeaderTenant), seen.Get("Authorization"); tenant != tt.tenant || passed != tt.passed {
				t.Errorf("%s: the upstream received tenant %q and credentials %q, want %q and %q", tt.name, tenant, passed, tt.tenant, tt.passed)
			}
			for name := range seen {
				if strings.HasPrefix(name, "Kingcuppitch-") {
					t.Errorf("%s: the upstream received header %s", tt.name, name)
				}
			}
			mu.Unlock()
		}
		if got, want := m.metrics.Get("entry.refused.unknownKey"), int64(3); got != want {
			t.Errorf("got %d refusals counted, want %d", got, want)
		}
	})
}

// TestWithoutTenants guards against headers that callers lose although there are no
// tenants.
func TestWithoutTenants(t *testing.T) {
	runLocalAndForwarded(t, func(t *testing.T, local bool) {
		got := make(chan string, 1)
		up := newUpstream(t, func(c net.Conn, r *http.Request, body []byte) {
			got <- r.Header.Get("Authorization") + ", " + r.Header.Get(request.HeaderTenant)
			echo(c, r, body)
		})
		m := newMesh(t, meshOptions{local: local}, up.addr())
		if r := m.call(t, http.MethodPost, "/reserve/1", "x", "Authorization", "Bearer key-acme", request.HeaderTenant, "own"); r.status != http.StatusOK {
			t.Fatalf("got %d %s", r.status, r.body)
		}
		if v := <-got; v != "Bearer key-acme, own" {
			t.Errorf("got %q, want what the caller sent", v)
		}
	})
}

// TestTenantClass guards against requests of a tenant that keep the class of the route,
// and against those of a tenant without a class that lose it.
func TestTenantClass(t *testing.T) {
	e := New(fixedView{}, nil, WithHeaders(request.Headers{Tenant: "T"}))
	for i, want := range []string{"vip", "book"} {
		call := &request.Call{Class: "book", Header: http.Header{"T": {"forged"}}}
		e.setTenant(call, twoTenants[i], newMesh(t, meshOptions{tenants: twoTenants}).entry.view.Snapshot())
		if call.Class != want || call.Tenant != twoTenants[i].Name || call.Header.Get("T") != call.Tenant {
			t.Errorf("got class %q, tenant %q and header %v, want class %q", call.Class, call.Tenant, call.Header, want)
		}
	}
}

// TestKeyBelongsToTenant guards against a tenant that receives the stored answer to a
// request of another one that chose the same idempotency key.
func TestKeyBelongsToTenant(t *testing.T) {
	up := newUpstream(t, echo)
	m := newMesh(t, meshOptions{claims: new(fakeClaims), tenants: twoTenants}, up.addr())
	for _, want := range []request.Outcome{request.Ran, request.Replayed} {
		for _, key := range []string{"key-acme", "key-zeta"} {
			if got := m.call(t, http.MethodPost, "/reserve/a", "x", request.HeaderKey, "same", "Authorization", "Bearer "+key); got.outcome() != want {
				t.Errorf("%s: got %d %s, want %s", key, got.status, got.outcome(), want)
			}
			m.entry.finishes.Wait()
		}
	}
	if n := up.ran("/reserve/a"); n != 2 {
		t.Errorf("ran %d times, want once for each tenant", n)
	}
}
