package status

import (
	"strconv"
	"testing"
)

// TestIs guards against a text that is taken for a status, and against a status that is
// not taken for one.
func TestIs(t *testing.T) {
	for n := range 1100 {
		text := strconv.Itoa(n)
		if got, want := Is(text), n >= 100 && n <= 599; got != want {
			t.Errorf("%s: got %v, want %v", text, got, want)
		}
		if got, want := IsFinal(n), n >= 200 && n <= 599; got != want {
			t.Errorf("%d: got final %v, want %v", n, got, want)
		}
	}
	for _, text := range []string{"", "000", "0200", "099", "+20", "-20", "2x0", " 20", "20 ", "200 "} {
		if Is(text) {
			t.Errorf("%q was taken for a status", text)
		}
	}
}
