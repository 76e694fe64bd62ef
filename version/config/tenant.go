package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// unusableTenant names a tenant without keys. It stands for tenants none of which can be
// used, because a configuration without tenants would require no keys.
const unusableTenant = "unusable"

// Tenant is a customer whose callers identify themselves with one of its keys.
type Tenant struct {
	Name string `toml:"name" json:"name"`
	// Keys lists the digests of the tenant's keys; see KeyDigest. The configuration never
	// contains a key itself.
	Keys []string `toml:"keys" json:"keys,omitempty"`
	// Class is the priority class of the tenant's requests; empty means that of the
	// route.
	Class string `toml:"class" json:"class,omitempty"`
}

// KeyDigest returns the SHA-256 digest of a key, in hexadecimal digits.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func tenantName(t Tenant) string { return t.Name }

// Tenant returns the tenant with the given name.
func (c *Config) Tenant(name string) (Tenant, bool) { return find(c.Tenants, tenantName, name) }

// isKeyDigest reports whether a text has the form of a digest of a key.
func isKeyDigest(text string) bool {
	b, err := hex.DecodeString(text)
	return err == nil && len(b) == sha256.Size
}

// check reports the problems of a tenant. holders maps the digests of earlier tenants to
// their names. The messages do not quote a digest, since an operator may have written a
// key in its place.
func (t Tenant) check(holders map[string]string, report report) {
	if msg := checkName(t.Name); msg != "" {
		report("", "%s", msg)
	}
	if t.Class != "" {
		if msg := checkName(t.Class); msg != "" {
			report("class", "%s", msg)
		}
	}
	for i, k := range t.Keys {
		if !isKeyDigest(k) {
			report("keys", "number %d is not a SHA-256 digest of 64 hexadecimal digits", i+1)
			continue
		}
		k = strings.ToLower(k)
		switch other, held := holders[k]; {
		case held && other == t.Name:
			report("keys", "number %d is listed twice", i+1)
		case held:
			report("keys", "number %d is a key of tenant %q, too", i+1, other)
		default:
			holders[k] = t.Name
		}
	}
}

// tenants returns the tenants that can be used, with the keys that can. Of several
// tenants with one key, the first keeps it.
func (r *repair) tenants(list []Tenant) []Tenant {
	holders := make(map[string]string)
	out := first(r, KindTenant, list, tenantName)
	for i := range out {
		t := &out[i]
		var keys []string
		for n, k := range t.Keys {
			digest := strings.ToLower(k)
			other, held := holders[digest]
			switch {
			case !isKeyDigest(k):
				r.note(KindTenant, t.Name, "keys", "number %d is not a SHA-256 digest; left out", n+1)
				continue
			case held && other != t.Name:
				r.note(KindTenant, t.Name, "keys", "number %d is a key of tenant %q, which keeps it", n+1, other)
				continue
			case held:
				continue
			}
			holders[digest] = t.Name
			keys = append(keys, k)
		}
		t.Keys = keys
	}
	if len(out) == 0 && len(list) > 0 {
		r.note(KindTenant, unusableTenant, "", "no tenant can be used; requests on routes that are not public are refused")
		out = []Tenant{{Name: unusableTenant}}
	}
	return out
}
