// Package tenant finds the tenant of a request by the key that its caller presents.
//
// The configuration contains the SHA-256 digests of keys. An Index maps them to tenants;
// it is built once per configuration and is immutable. A key is looked up by its digest
// and compared in constant time. Neither keys nor digests are part of any error.
//
// # Usage
//
//	index := tenant.New(cfg.Tenants)
//	t, err := index.Check(r.Header, route.Public)
//	if err != nil {
//		return err // a *request.Refusal with status 401
//	}
//	index.RemoveKey(call.Header)
//	call.Tenant, call.Class = t.Name, cmp.Or(t.Class, route.Class)
package tenant

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/version/config"
)

const (
	headerAuthorization = "Authorization"
	// scheme is the authentication scheme of keys, in lower case.
	scheme = "bearer"
)

// Index maps the keys of a configuration to tenants. A nil Index has no tenants.
type Index struct {
	// list is the list of the configuration.
	list []config.Tenant
	// holders are the holders of keys by the first bytes of the digests, which choose the
	// candidates; the whole digests are compared in constant time.
	holders map[uint64][]holder
}

type holder struct {
	digest [sha256.Size]byte
	tenant *config.Tenant
}

// New returns the index of a list of tenants, which must not be modified afterwards. The
// first holder of a key keeps it; texts that are no digests are ignored.
func New(list []config.Tenant) *Index {
	if len(list) == 0 {
		return nil
	}
	x := &Index{list: list, holders: make(map[uint64][]holder, len(list))}
	for i := range list {
		for _, text := range list[i].Keys {
			digest, err := hex.DecodeString(text)
			if err != nil || len(digest) != sha256.Size {
				continue
			}
			h := holder{[sha256.Size]byte(digest), &list[i]}
			start := prefix(&h.digest)
			x.holders[start] = append(x.holders[start], h)
		}
	}
	return x
}

func prefix(digest *[sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(digest[:]) }

// Next returns the index of a later configuration, which is x if the list has not
// changed. Comparing the storage suffices, because a change of the configuration replaces
// the list.
func (x *Index) Next(list []config.Tenant) *Index {
	if x != nil && len(x.list) == len(list) && len(list) > 0 && &x.list[0] == &list[0] {
		return x
	}
	return New(list)
}

// Len returns the number of tenants.
func (x *Index) Len() int {
	if x == nil {
		return 0
	}
	return len(x.list)
}

// Lookup returns the tenant that holds a key.
func (x *Index) Lookup(key string) (t config.Tenant, ok bool) {
	if x == nil {
		return t, false
	}
	digest := sha256.Sum256([]byte(key))
	for _, h := range x.holders[prefix(&digest)] {
		if subtle.ConstantTimeCompare(h.digest[:], digest[:]) == 1 {
			return *h.tenant, true
		}
	}
	return t, false
}

// Check returns the tenant of a request with the given header, or the zero Tenant if
// there are no tenants or the request is on a public route and has no known key. The error
// is a *request.Refusal.
func (x *Index) Check(h http.Header, public bool) (t config.Tenant, err error) {
	if x == nil {
		return t, nil
	}
	// With several credentials it would be open which of them counts.
	if values := h[headerAuthorization]; len(values) == 1 && isBearer(values[0]) {
		rest := values[0][len(scheme):]
		if key := strings.TrimLeft(rest, " "); len(key) < len(rest) {
			if t, ok := x.Lookup(key); ok {
				return t, nil
			}
		}
	}
	if public {
		return t, nil
	}
	return t, &request.Refusal{
		Outcome: request.NotRun, Reason: request.ReasonUnknownKey, Status: http.StatusUnauthorized,
		Detail: "the request has no key of a tenant",
	}
}

// isBearer reports whether a value of the header Authorization is a credential of the
// scheme of keys, however it is spelt.
func isBearer(value string) bool {
	return len(value) >= len(scheme) && strings.EqualFold(value[:len(scheme)], scheme)
}

// carriesKey reports whether a value of the header Authorization must not be passed on: one
// of its credentials is of the scheme of keys, or one of its words is a key of a tenant. A
// proxy may have joined several headers to one value, separated by commas.
func (x *Index) carriesKey(value string) bool {
	for credential := range strings.SplitSeq(value, ",") {
		if isBearer(strings.TrimLeft(credential, " \t")) {
			return true
		}
	}
	isSeparator := func(r rune) bool { return strings.ContainsRune(" \t,;\"", r) }
	for word := range strings.FieldsFuncSeq(value, isSeparator) {
		if _, ok := x.Lookup(word); ok {
			return true
		}
	}
	return false
}

// RemoveKey removes the values with a key from a header that is passed on. Other
// credentials stay. If there are no tenants, it does nothing.
func (x *Index) RemoveKey(h http.Header) {
	values := h[headerAuthorization]
	if x == nil || !slices.ContainsFunc(values, x.carriesKey) {
		return
	}
	// The values may be shared with other headers.
	values = slices.DeleteFunc(slices.Clone(values), x.carriesKey)
	if len(values) == 0 {
		delete(h, headerAuthorization)
		return
	}
	h[headerAuthorization] = values
}
