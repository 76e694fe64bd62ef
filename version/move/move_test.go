package move

import (
	"testing"
)

// TestReplay guards against a bad version that keeps traffic and a good version
// that is rolled back or late, on each recorded trace.
func TestReplay(t *testing.T) {
	naiveBroken := 0
	for _, s := range scenarios() {
		tr := readTrace(t, s.path())
		o, n := tr.replay(new(own), 1), tr.replay(new(naive), 1)
		if err := tr.check(o); err != "" {
			t.Errorf("%s: %s (%+v)", tr.Name, err, o)
		}
		naiveErr := tr.check(n)
		if naiveErr != "" {
			naiveBroken++
		}
		t.Logf("%-18s own: %s; naive: %s %s", tr.Name, o, n, naiveErr)
	}
	t.Logf("naive breaks the stated outcome of %d traces", naiveBroken)
	if naiveBroken == 0 {
		t.Error("the naive version meets all outcomes, so the traces show nothing")
	}
}
