package request

import (
	"net/http"
	"testing"
)

// TestStatement guards against a statement of an upstream that is misread, or whose
// malformed values pass unnoticed.
func TestStatement(t *testing.T) {
	names := Headers{RateLimit: "Upstream-Limit", Leaving: "Upstream-Leaving"}
	for _, c := range []struct {
		limits, leaving []string
		want            Statement
		malformed       bool
	}{
		{nil, nil, Statement{}, false},
		{[]string{"43.4"}, nil, Statement{RateLimit: 43.4}, false},
		{[]string{" 7 "}, nil, Statement{RateLimit: 7}, false},
		{[]string{"0"}, nil, Statement{RateLimit: MinRateLimit}, false},
		{[]string{"0.01"}, nil, Statement{RateLimit: MinRateLimit}, false},
		{[]string{"1e-400"}, nil, Statement{RateLimit: MinRateLimit}, false},
		{[]string{"1e12"}, nil, Statement{RateLimit: maxRateLimit}, false},
		{[]string{"1e999"}, nil, Statement{RateLimit: maxRateLimit}, false},
		{[]string{"20", "10"}, nil, Statement{RateLimit: 10}, false},
		{[]string{"20, 10"}, nil, Statement{RateLimit: 10}, false},
		{[]string{"20", "many"}, nil, Statement{RateLimit: 20}, true},
		{[]string{"many"}, nil, Statement{}, true},
		{[]string{""}, nil, Statement{}, true},
		{[]string{"-1"}, nil, Statement{}, true},
		{[]string{"-1e999"}, nil, Statement{}, true},
		{[]string{"NaN"}, nil, Statement{}, true},
		{nil, []string{"1"}, Statement{Leaving: true}, false},
		{nil, []string{"0"}, Statement{}, false},
		{nil, []string{"0", "1"}, Statement{Leaving: true}, false},
		{nil, []string{"soon"}, Statement{}, true},
		{[]string{"5"}, []string{"1"}, Statement{RateLimit: 5, Leaving: true}, false},
	} {
		got, err := names.Statement(http.Header{"Upstream-Limit": c.limits, "Upstream-Leaving": c.leaving})
		if got != c.want || (err != nil) != c.malformed {
			t.Errorf("limits %q, leaving %q: got %+v and error %v, want %+v and malformed %v", c.limits, c.leaving, got, err, c.want, c.malformed)
		}
	}
	if got, err := DefaultHeaders.Statement(http.Header{"Upstream-Limit": {"5"}}); got != (Statement{}) || err != nil {
		t.Errorf("without header names: got %+v and %v, want nothing", got, err)
	}
}
