package config

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
)

func tenantConfig() Config {
	cfg := usableConfig()
	cfg.Tenants = []Tenant{{Name: "acme", Keys: []string{KeyDigest("k1"), KeyDigest("k2")}, Class: "vip"}, {Name: "zeta", Keys: []string{KeyDigest("k3")}}}
	cfg.Routes[1].Public = true
	cfg.Presets[0].Shed = []string{"c", "vip"}
	return cfg
}

// TestTenantChange guards against a change of tenants that does not reach the daemons, or
// that gives another configuration there.
func TestTenantChange(t *testing.T) {
	from, to := tenantConfig(), tenantConfig()
	to.Tenants = []Tenant{{Name: "acme", Keys: []string{KeyDigest("k1")}, Class: "vip"}, {Name: "new", Keys: []string{KeyDigest("k3")}}}
	data, err := json.Marshal(Diff(from, to))
	if err != nil {
		t.Fatal(err)
	}
	var change Change
	if err := json.Unmarshal(data, &change); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, k := range change.Keys() {
		keys = append(keys, k.String())
	}
	if want := []string{"tenant/acme", "tenant/new", "tenant/zeta"}; !slices.Equal(keys, want) {
		t.Errorf("got keys %v, want %v", keys, want)
	}
	if got := Apply(from, change); !reflect.DeepEqual(got.Tenants, to.Tenants) {
		t.Errorf("got tenants %+v, want %+v", got.Tenants, to.Tenants)
	}
}

// TestWithoutTenants guards against a configuration without tenants whose encoding, and so
// its hash, differs from that of daemons of earlier releases.
func TestWithoutTenants(t *testing.T) {
	data, err := json.Marshal(Diff(Config{}, usableConfig()))
	if err != nil {
		t.Fatal(err)
	}
	if s := strings.ToLower(string(data)); strings.Contains(s, "tenant") || strings.Contains(s, "public") {
		t.Errorf("got %s", data)
	}
}

// TestUsableTenants guards against a key that two tenants hold, against tenants that are
// left out in a way that opens routes to callers without a key, and against remarks that
// contain a key.
func TestUsableTenants(t *testing.T) {
	const secret = "raw-key-of-acme"
	for _, tt := range []struct {
		name    string
		tenants []Tenant
		want    []Tenant
		// problems are parts of the problems, in order.
		problems []string
	}{
		{"valid", tenantConfig().Tenants, tenantConfig().Tenants, nil},
		{
			"key of two tenants",
			[]Tenant{{Name: "a", Keys: []string{KeyDigest("k")}}, {Name: "b", Keys: []string{strings.ToUpper(KeyDigest("k")), KeyDigest("l")}}},
			[]Tenant{{Name: "a", Keys: []string{KeyDigest("k")}}, {Name: "b", Keys: []string{KeyDigest("l")}}},
			[]string{`tenant "b": keys: number 1 is a key of tenant "a", which keeps it`},
		},
		{
			"key twice",
			[]Tenant{{Name: "a", Keys: []string{KeyDigest("k"), KeyDigest("k")}}},
			[]Tenant{{Name: "a", Keys: []string{KeyDigest("k")}}}, nil,
		},
		{
			"no digest", []Tenant{{Name: "a", Keys: []string{secret, KeyDigest("k")}}}, []Tenant{{Name: "a", Keys: []string{KeyDigest("k")}}},
			[]string{`tenant "a": keys: number 1 is not a SHA-256 digest`},
		},
		{"no name", []Tenant{{Keys: []string{KeyDigest("k")}}, {Name: "a"}}, []Tenant{{Name: "a"}}, []string{"name is empty"}},
		{"none that can be used", []Tenant{{Keys: []string{KeyDigest("k")}}}, []Tenant{{Name: "unusable"}}, []string{"name is empty", "no tenant can be used"}},
		{"name twice", []Tenant{{Name: "a", Class: "x"}, {Name: "a"}}, []Tenant{{Name: "a", Class: "x"}}, []string{"defined twice"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := usableConfig()
			cfg.Tenants = tt.tenants
			got, problems := cfg.Usable()
			if !reflect.DeepEqual(got.Tenants, tt.want) {
				t.Errorf("got %+v, want %+v", got.Tenants, tt.want)
			}
			if len(problems) != len(tt.problems) {
				t.Fatalf("got problems %v, want %q", problems, tt.problems)
			}
			for i, p := range problems {
				if text := p.Error(); !strings.Contains(text, tt.problems[i]) || strings.Contains(text, secret) || strings.Contains(text, KeyDigest("k")) {
					t.Errorf("got problem %q, want %q and no key", text, tt.problems[i])
				}
			}
			if again, _ := got.Usable(); !reflect.DeepEqual(again, got) {
				t.Errorf("made usable again: got %+v, want %+v", again.Tenants, got.Tenants)
			}
		})
	}
}
