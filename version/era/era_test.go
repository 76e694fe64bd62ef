package era_test

import (
	"math"
	"testing"

	"github.com/kingcuppitch/kingcuppitch/version/era"
)

// TestOffset guards against offsets of a later era that are not larger than those of an
// earlier one, and against an era and a number that cannot be told apart again.
func TestOffset(t *testing.T) {
	last := int64(-1)
	for _, c := range []struct{ era, number, want int64 }{
		{0, 0, 0}, {0, 17, 17}, {0, 999_999_999_999, 999_999_999_999},
		{1, 0, 1_000_000_000_000}, {1, 4, 1_000_000_000_004}, {2, 3, 2_000_000_000_003},
		{era.Largest, 999_999_999_999, era.Largest*1_000_000_000_000 + 999_999_999_999},
	} {
		got, err := era.Offset(c.era, c.number)
		if err != nil || got != c.want || got <= last {
			t.Errorf("era %d, number %d: got %d, %v, want %d, above %d", c.era, c.number, got, err, c.want, last)
		}
		if e, n := era.Of(got), era.Number(got); e != c.era || n != c.number {
			t.Errorf("offset %d: got era %d and number %d, want %d and %d", got, e, n, c.era, c.number)
		}
		if got, want := era.Start(c.want), c.want-c.number; got != want {
			t.Errorf("offset %d: got first offset %d, want %d", c.want, got, want)
		}
		last = got
	}
	for _, c := range [][2]int64{{-1, 0}, {0, -1}, {0, 1_000_000_000_000}, {era.Largest + 1, 0}, {math.MaxInt64, 1}} {
		if got, err := era.Offset(c[0], c[1]); err == nil {
			t.Errorf("era %d, number %d: got offset %d, want an error", c[0], c[1], got)
		}
	}
}
