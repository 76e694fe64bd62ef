// Package examples_test checks the example files.
package examples_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/kingcuppitch/kingcuppitch/process/settings"
	"github.com/kingcuppitch/kingcuppitch/version/config"
)

// TestExamples guards against examples that this release refuses, or that do not
// describe the two deployments of the design page.
func TestExamples(t *testing.T) {
	tests := []struct {
		dir                string
		region             string
		slots, connections int
		// upstreams, and the idempotent and nonIdempotent routes, are in file order.
		upstreams, idempotent, nonIdempotent []string
		// shedLast are the classes that are shed last, in this order.
		shedLast []string
	}{
		{
			dir: "interviewBooking", region: "nl-west", slots: 20, connections: 120,
			upstreams:     []string{"booking", "records"},
			idempotent:    []string{"browseSlots", "readTranscripts", "archiveLookUp"},
			nonIdempotent: []string{"reserveInterview", "invoices", "consentForms"},
			shedLast:      []string{"invoice", "consent", "reservation"},
		},
		{
			dir: "robeHire", region: "hu-central", slots: 10, connections: 130,
			upstreams:     []string{"catalogue", "fitting"},
			idempotent:    []string{"stockLookUp", "priceCheck"},
			nonIdempotent: []string{"reserveRobes", "bookFittings", "deposits"},
			shedLast:      []string{"price", "reservation", "deposit"},
		},
	}
	dirs, err := filepath.Glob("*/config.toml")
	if err != nil || len(dirs) != len(tests) {
		t.Errorf("examples: got %v, %v, want %d", dirs, err, len(tests))
	}
	for _, tt := range tests {
		t.Run(tt.dir, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(tt.dir, "config.toml"))
			if err != nil {
				t.Fatal(err)
			}
			cfg, err := config.Parse(data)
			if err != nil {
				t.Fatal(err)
			}
			if len(cfg.Zones) != 3 {
				t.Errorf("availability zones: got %d, want 3", len(cfg.Zones))
			}
			for i, z := range cfg.Zones {
				if want := tt.region + "-" + string(rune('a'+i)); z.Name != want || z.Region != tt.region {
					t.Errorf("availability zone: got %+v, want %s in %s", z, want, tt.region)
				}
			}
			var upstreams []string
			for _, u := range cfg.Upstreams {
				upstreams = append(upstreams, u.Name)
				if u.Slots != tt.slots || u.Connections != tt.connections {
					t.Errorf("upstream %s: got %d slots and %d connections, want %d and %d", u.Name, u.Slots, u.Connections, tt.slots, tt.connections)
				}
			}
			if !slices.Equal(upstreams, tt.upstreams) {
				t.Errorf("upstreams: got %v, want %v", upstreams, tt.upstreams)
			}
			checkRoutes(t, cfg, tt.idempotent, tt.nonIdempotent)
			checkPresets(t, cfg, tt.shedLast)

			s, err := settings.Load(filepath.Join(tt.dir, "daemon.toml"))
			if err != nil {
				t.Fatal(err)
			}
			if z, ok := cfg.Zone(s.Zone); !ok || z.Region != s.Region {
				t.Errorf("daemon.toml: availability zone %q in region %q is not that of config.toml", s.Zone, s.Region)
			}
		})
	}
}

func checkRoutes(t *testing.T, cfg config.Config, idempotent, nonIdempotent []string) {
	t.Helper()
	var gotIdempotent, gotNonIdempotent []string
	for _, r := range cfg.Routes {
		if r.Idempotent {
			gotIdempotent = append(gotIdempotent, r.Name)
		} else {
			gotNonIdempotent = append(gotNonIdempotent, r.Name)
		}
		if want := r.Name == "archiveLookUp"; r.Internal != want {
			t.Errorf("route %s: internal: got %v, want %v", r.Name, r.Internal, want)
		}
	}
	if !slices.Equal(gotIdempotent, idempotent) || !slices.Equal(gotNonIdempotent, nonIdempotent) {
		t.Errorf("idempotent routes: got %v and others %v, want %v and %v", gotIdempotent, gotNonIdempotent, idempotent, nonIdempotent)
	}
}

func checkPresets(t *testing.T, cfg config.Config, shedLast []string) {
	t.Helper()
	var names []string
	for _, p := range cfg.Presets {
		names = append(names, p.Name)
		if n := len(p.Shed) - len(shedLast); n < 0 || !slices.Equal(p.Shed[n:], shedLast) {
			t.Errorf("preset %s: shed: got %v, want %v last", p.Name, p.Shed, shedLast)
		}
		// A class that is not listed has no place in the shed order.
		for _, r := range cfg.Routes {
			if !slices.Contains(p.Shed, r.Class) {
				t.Errorf("preset %s: shed lacks class %q of route %s", p.Name, r.Class, r.Name)
			}
		}
	}
	if want := []string{"ordinary", "peak", "maintenance"}; !slices.Equal(names, want) {
		t.Errorf("presets: got %v, want %v", names, want)
	}
}
