package settings

import "testing"

// TestMemory guards against a bound on bodies that the memory of the machine does not
// cover, and against none where the memory is not known.
func TestMemory(t *testing.T) {
	for _, tt := range []struct {
		report string
		want   int64
	}{
		{"MemTotal:         130860 kB\nMemFree:  7 kB\n", 130860 << 10},
		{"MemFree: 7 kB\nMemTotal: 1 kB", 1 << 10},
		{"MemTotal: many kB\n", 0},
		{"", 0},
	} {
		if got := totalMemory(tt.report); got != tt.want {
			t.Errorf("%q: got %d bytes, want %d", tt.report, got, tt.want)
		}
	}
	for _, tt := range []struct {
		settings Settings
		want     int64
	}{
		{Settings{MemoryBytes: 100 << 20}, 50 << 20},
		{Settings{MemoryBytes: 1 << 40}, DefaultBodyBytes},
		{Settings{MemoryBytes: 1 << 40, BodyBytes: 1 << 30}, 1 << 30},
	} {
		if got := tt.settings.BodyMemory(); got != tt.want {
			t.Errorf("%+v: got %d bytes for bodies, want %d", tt.settings, got, tt.want)
		}
	}
}
