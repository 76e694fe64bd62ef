package config

import (
	"cmp"
	"reflect"
	"slices"
)

// Diff returns the change that, applied to from, gives to.
func Diff(from, to Config) Change {
	var c Change
	c.Upserts.Zones, c.Deletes.Zones = diffList(from.Zones, to.Zones, zoneName)
	c.Upserts.Upstreams, c.Deletes.Upstreams = diffList(from.Upstreams, to.Upstreams, upstreamName)
	c.Upserts.Routes, c.Deletes.Routes = diffList(from.Routes, to.Routes, routeName)
	c.Upserts.Presets, c.Deletes.Presets = diffList(from.Presets, to.Presets, presetName)
	c.Upserts.Tenants, c.Deletes.Tenants = diffList(from.Tenants, to.Tenants, tenantName)
	if to.Limits != from.Limits {
		c.Upserts.Limits = to.Limits
	}
	return c
}

// Apply returns a copy of cfg with the change applied. It does not modify cfg.
func Apply(cfg Config, c Change) Config {
	return Config{
		Zones:     applyList(cfg.Zones, c.Upserts.Zones, c.Deletes.Zones, zoneName),
		Upstreams: applyList(cfg.Upstreams, c.Upserts.Upstreams, c.Deletes.Upstreams, upstreamName),
		Routes:    applyList(cfg.Routes, c.Upserts.Routes, c.Deletes.Routes, routeName),
		Presets:   applyList(cfg.Presets, c.Upserts.Presets, c.Deletes.Presets, presetName),
		Tenants:   applyList(cfg.Tenants, c.Upserts.Tenants, c.Deletes.Tenants, tenantName),
		Limits:    cmp.Or(c.Upserts.Limits, cfg.Limits),
	}
}

func diffList[T any](from, to []T, name func(T) string) (upserts []T, deletes []string) {
	for _, v := range to {
		old, ok := find(from, name, name(v))
		if !ok || !reflect.DeepEqual(old, v) {
			upserts = append(upserts, v)
		}
	}
	for _, v := range from {
		if _, ok := find(to, name, name(v)); !ok {
			deletes = append(deletes, name(v))
		}
	}
	return upserts, deletes
}

// applyList returns the resources sorted by name, so that the same set of
// resources has the same encoding on every daemon.
func applyList[T any](list, upserts []T, deletes []string, name func(T) string) []T {
	byName := make(map[string]T, len(list)+len(upserts))
	for _, v := range list {
		byName[name(v)] = v
	}
	for _, n := range deletes {
		delete(byName, n)
	}
	for _, v := range upserts {
		byName[name(v)] = v
	}
	out := make([]T, 0, len(byName))
	for _, v := range byName {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b T) int {
		if name(a) < name(b) {
			return -1
		}
		return 1
	})
	if len(out) == 0 {
		return nil
	}
	return out
}
