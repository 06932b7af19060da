package lease

import (
	"encoding/json"

	"rattantide/internal/objectclient"
)

// record is the stored form of a lease.
type record struct {
	Holder string `json:"holder"`
	// Nonce identifies the acquisition. A restarted daemon has the same name but
	// another nonce.
	Nonce string `json:"nonce"`
	// Fence is 0 in the write that acquires the lease, because the version that
	// it produces is not known yet; renewals repeat that version.
	Fence int64 `json:"fence,omitempty"`
	// ExpiresMs is the expiry in the store's time, or the lifetime if leases
	// expire by observation; 0 for a lease that was released.
	ExpiresMs int64 `json:"expiresMs"`
	// Renewals counts the renewals, so that each write differs.
	Renewals int64 `json:"renewals,omitempty"`
}

// token returns the fencing token of a lease, given the version of its object.
func (r record) token(version objectclient.Revision) int64 {
	if r.Fence == 0 {
		return int64(version)
	}
	return r.Fence
}

// decode returns the lease that is stored in an object. If the object is missing or
// unreadable, the result is an expired lease, because nobody could renew it.
func decode(o *objectclient.Object) record {
	var r record
	if o == nil || json.Unmarshal(o.Value, &r) != nil {
		return record{}
	}
	return r
}
