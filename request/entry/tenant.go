package entry

import (
	"cmp"

	"github.com/kingcuppitch/kingcuppitch/process/control"
	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/version/config"
)

// setTenant makes a call one of a tenant, whose name is empty if the caller has presented
// no known key. It removes the key, and what the caller has named as its tenant. If there
// are no tenants, it does nothing.
func (e *Entry) setTenant(call *request.Call, t config.Tenant, snap *control.Snapshot) {
	if snap.Tenants.Len() == 0 {
		return
	}
	snap.Tenants.RemoveKey(call.Header)
	// A daemon of an earlier release passes the header on to its upstream as it is.
	e.headers.SetTenant(call.Header, t.Name)
	call.Tenant, call.Class = t.Name, cmp.Or(t.Class, call.Class)
}

// scopeKey scopes an idempotency key to the tenant of a call, so that no tenant gets the
// stored answer to a request of another one.
func scopeKey(call *request.Call, key string) string {
	if call.Tenant == "" {
		return key
	}
	return key + "\n" + call.Tenant
}
