package request

import "testing"

// TestFingerprint guards against a repeated request that is not recognised, and against
// requests of different callers or hosts that are taken for the same one.
func TestFingerprint(t *testing.T) {
	call := func(change func(*Call)) *Call {
		c := &Call{Method: "POST", Path: "/hold?size=4", Host: "shop.example", Body: []byte("robe=12"), Caller: "fitting", Tenant: "choir"}
		change(c)
		return c
	}
	base := call(func(*Call) {}).Fingerprint()
	for _, tt := range []struct {
		name               string
		change             func(*Call)
		same, otherCallers bool
	}{
		{"another attempt", func(c *Call) { c.ID, c.Route, c.Upstream, c.Version = "2", "r-2", "stock", 9 }, true, true},
		{"the port and the case of the host", func(c *Call) { c.Host = "Shop.Example:8080" }, true, true},
		{"another caller", func(c *Call) { c.Caller = "catalogue" }, false, true},
		{"another tenant", func(c *Call) { c.Tenant = "parish" }, false, true},
		{"an unknown caller", func(c *Call) { c.Caller, c.Tenant = "", "" }, false, true},
		{"another method", func(c *Call) { c.Method = "PUT" }, false, false},
		{"another path", func(c *Call) { c.Path = "/hold?size=5" }, false, false},
		{"another host", func(c *Call) { c.Host = "club.example" }, false, false},
		{"another body", func(c *Call) { c.Body = []byte("robe=13") }, false, false},
	} {
		got := call(tt.change).Fingerprint()
		if (got == base) != tt.same {
			t.Errorf("%s: got the same fingerprint %v, want %v", tt.name, got == base, tt.same)
		}
		if same := got&^CallerBits == base&^CallerBits; same != tt.otherCallers {
			t.Errorf("%s: got the same fingerprint without the caller %v, want %v", tt.name, same, tt.otherCallers)
		}
	}
}
