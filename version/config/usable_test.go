package config

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

func usableConfig() Config {
	return Config{
		Zones:     []Zone{{Name: "zone_1", Region: "r"}},
		Upstreams: []Upstream{{Name: "up", Announced: true, Connections: 100}},
		Routes: []Route{
			{Name: "a", Prefix: "/a/", Upstream: "up", Class: "c", AnswerWithin: Duration(time.Second)},
			{Name: "b", Prefix: "/b/", Backends: []Backend{{Upstream: "up", Weight: 1}}, Class: "c", AnswerWithin: Duration(time.Second)},
		},
		Presets: []Preset{{Name: "p"}},
	}
}

// TestUsable guards against a part of a configuration that cannot be used and is neither
// repaired nor reported, and against one that takes others with it.
func TestUsable(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*Config)
		// want is a part of the only problem; empty means that there is none.
		want  string
		check func(*Config) bool
	}{
		{"names of any form", func(c *Config) {
			c.Routes[0].Name, c.Upstreams[0].Name = strings.Repeat("ő ", 200), "up_1"
			c.Routes[0].Upstream, c.Routes[1].Backends[0].Upstream = "up_1", "up_1"
		}, "", func(c *Config) bool { return c.Routes[0].Upstream == "up_1" && len(c.Upstreams) == 1 }},
		{"same name of two routes", func(c *Config) { c.Routes[1].Name = "a" }, "", func(c *Config) bool { return len(c.Routes) == 2 }},
		{"zone twice", func(c *Config) { c.Zones = append(c.Zones, c.Zones[0]) }, "defined twice", func(c *Config) bool { return len(c.Zones) == 1 }},
		{"upstream without a name", func(c *Config) { c.Upstreams = append(c.Upstreams, Upstream{Announced: true}) }, "name is empty", func(c *Config) bool { return len(c.Upstreams) == 1 }},
		{"upstream without versions", func(c *Config) { c.Upstreams = append(c.Upstreams, Upstream{Name: "x"}) }, "left out", func(c *Config) bool { return len(c.Upstreams) == 1 }},
		{"upstream that is not defined", func(c *Config) { c.Routes[0].Upstream = "x" }, "not defined", func(c *Config) bool {
			u, ok := c.Upstream("x")
			return ok && u.Announced && u.Connections > 0
		}},
		{"no number of connections", func(c *Config) { c.Upstreams[0].Connections = 0 }, "", func(c *Config) bool { return c.Upstreams[0].Connections == DefaultConnections }},
		{"too many connections", func(c *Config) { c.Upstreams[0].Connections = math.MaxInt }, "is used", func(c *Config) bool { return c.Upstreams[0].Connections == MaxConnections }},
		{"cold rate that is no number", func(c *Config) { c.Upstreams[0].ColdPerSecond = math.NaN() }, "is used", func(c *Config) bool { return c.Upstreams[0].ColdPerSecond == 0 }},
		{"overlapping route", func(c *Config) { c.Routes[1].Prefix = "/a/" }, "matches the same requests", func(c *Config) bool { return len(c.Routes) == 1 && c.Routes[0].Name == "a" }},
		{"route without upstream", func(c *Config) { c.Routes[0].Upstream = "" }, "requests are refused", func(c *Config) bool { return len(c.Routes) == 2 }},
		{"method that is none", func(c *Config) { c.Routes[0].Methods = []string{"get"} }, "left out", func(c *Config) bool { return len(c.Routes) == 1 && c.Routes[0].Name == "b" }},
		{"prefix without a slash", func(c *Config) { c.Routes[0].Prefix = "a/" }, "is added", func(c *Config) bool { return c.Routes[0].Prefix == "/a/" }},
		{"many attempts", func(c *Config) { c.Routes[0].Attempts = 40 }, "is used", func(c *Config) bool { return c.Routes[0].Attempts == MaxAttempts }},
		{"half an hour", func(c *Config) { c.Routes[0].AnswerWithin = Duration(30 * time.Minute) }, "", func(c *Config) bool { return c.Routes[0].AnswerWithin == Duration(30*time.Minute) }},
		{"two days", func(c *Config) { c.Routes[0].AnswerWithin = Duration(48 * time.Hour) }, "is used", func(c *Config) bool { return c.Routes[0].AnswerWithin == Duration(MaxTimeout) }},
		{"weights that add up to nothing", func(c *Config) { c.Routes[1].Upstream, c.Routes[1].Backends[0].Weight = "up", 0 }, "add up to nothing", func(c *Config) bool { return c.Routes[1].Split(0.5) == "up" }},
		{"no presets", func(c *Config) { c.Presets = nil }, "no preset", func(c *Config) bool { return len(c.Presets) == 1 }},
		{"unknown class", func(c *Config) { c.Presets[0].Shed = []string{"c", "d", "c"} }, "", func(c *Config) bool { return len(c.Presets[0].Shed) == 1 }},
		{"percentage", func(c *Config) { c.Presets[0].RetryPercent = 300 }, "is used", func(c *Config) bool { return c.Presets[0].RetryPercent == 100 }},
		{"negative limit", func(c *Config) { c.Limits.BodyBytes = -1 }, "is used", func(c *Config) bool { return c.Limits.BodyBytes == 0 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := usableConfig()
			tt.change(&cfg)
			got, problems := cfg.Usable()
			if !tt.check(&got) {
				t.Errorf("got %+v", got)
			}
			if len(problems) != min(1, len(tt.want)) || tt.want != "" && !strings.Contains(problems[0].Error(), tt.want) {
				t.Errorf("got problems %v, want %q", problems, tt.want)
			}
			if again, _ := got.Usable(); !reflect.DeepEqual(again, got) {
				t.Errorf("made usable again: got %+v, want %+v", again, got)
			}
		})
	}
}

// TestUsableKeepsValid guards against a valid configuration that daemons change.
func TestUsableKeepsValid(t *testing.T) {
	cfg := usableConfig()
	cfg.Zones[0].Name = "zone-1"
	cfg.Upstreams = append(cfg.Upstreams, Upstream{Name: "own", Versions: []string{"v1", "v2"}, Active: "v1", Slots: 20, ColdSlots: 2, Connections: 120, ColdPerSecond: 7, HealthPath: "/health"})
	cfg.Routes = append(cfg.Routes, Route{Name: "m", Prefix: "/m/", Methods: []string{"GET"}, Upstream: "own", Class: "d", AnswerWithin: Duration(time.Minute), Attempts: 16})
	cfg.Presets[0].Shed = []string{"d"}
	if err := cfg.Validate(); err != nil {
		t.Fatal(err)
	}
	got, problems := cfg.Usable()
	if len(problems) > 0 || !reflect.DeepEqual(got, cfg) {
		t.Errorf("got %+v with problems %v, want %+v", got, problems, cfg)
	}
}
