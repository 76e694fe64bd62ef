package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/trace"
)

// TestParse runs the cases of testdata. The comments of each file state the
// failure that it guards against and the expected problems.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if len(trace.Comments(string(data), "guards")) != 1 {
				t.Error("the file does not say which failure it guards against")
			}
			cfg, err := Parse(data)
			var got []string
			for _, p := range Problems(err) {
				got = append(got, p.Error())
			}
			want := trace.Comments(string(data), "want")
			if !slices.Equal(got, want) {
				t.Errorf("problems:\ngot  %s\nwant %s", strings.Join(got, "\n     "), strings.Join(want, "\n     "))
			}
			if (err != nil) != (len(want) > 0) {
				t.Errorf("error: got %v, want %d problems", err, len(want))
			}
			if err != nil && !reflect.DeepEqual(cfg, Config{}) {
				t.Error("a part of an invalid configuration was returned")
			}
		})
	}
}

func valid(t *testing.T) Config {
	t.Helper()
	data, err := os.ReadFile("testdata/valid.toml")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// TestDiffApply guards against a change that, applied to the first configuration,
// does not give the second.
func TestDiffApply(t *testing.T) {
	full := valid(t)
	changed := valid(t)
	changed.Routes[0].AnswerWithin = Duration(time.Second)
	changed.Presets = changed.Presets[:1]
	changed.Zones = append(changed.Zones, Zone{Name: "nl-west-c", Region: "nl-west"})
	tests := []struct {
		name     string
		from, to Config
		keys     []string
	}{
		{"same", full, valid(t), nil},
		{"first", Config{}, full, []string{
			"preset/ordinary", "preset/peak", "route/browse", "route/reserve", "upstream/booking", "zone/nl-west-a", "zone/nl-west-b",
		}},
		{"all deleted", full, Config{}, []string{
			"preset/ordinary", "preset/peak", "route/browse", "route/reserve", "upstream/booking", "zone/nl-west-a", "zone/nl-west-b",
		}},
		{"changed", full, changed, []string{"preset/peak", "route/browse", "zone/nl-west-c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			change := Diff(tt.from, tt.to)
			var keys []string
			for _, k := range change.Keys() {
				keys = append(keys, k.String())
			}
			if !slices.Equal(keys, tt.keys) {
				t.Errorf("keys: got %v, want %v", keys, tt.keys)
			}
			if got, want := change.Empty(), len(tt.keys) == 0; got != want {
				t.Errorf("empty: got %v, want %v", got, want)
			}
			// A record encodes the change as JSON.
			data, err := json.Marshal(change)
			if err != nil {
				t.Fatal(err)
			}
			var decoded Change
			if err := json.Unmarshal(data, &decoded); err != nil {
				t.Fatal(err)
			}
			got, want := Apply(tt.from, decoded), Apply(Config{}, Change{Upserts: tt.to})
			if rest := Diff(got, want); !rest.Empty() || !reflect.DeepEqual(got, want) {
				t.Errorf("applied: got %+v, want %+v", got, want)
			}
		})
	}
}

// TestValidateJSON guards against errors in a configuration from the log that
// only the TOML parser detects.
func TestValidateJSON(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *Config)
		want   string
	}{
		{"duplicate route", func(c *Config) { c.Routes = append(c.Routes, c.Routes[0]) }, `route "browse": is defined twice`},
		{"dangling upstream", func(c *Config) { c.Upstreams = nil }, `route "browse": upstream: "booking" is not defined`},
		{"no preset", func(c *Config) { c.Presets = nil }, `no preset is defined`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := valid(t)
			tt.change(&cfg)
			if err := cfg.Validate(); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}
