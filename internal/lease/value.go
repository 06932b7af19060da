package lease

import (
	"encoding/json"

	"rattantide/internal/objectclient"
)

// value is the stored form of a lease.
type value struct {
	Holder string `json:"holder"`
	// Nonce identifies the acquisition; a restarted daemon has the same name
	// but not the nonce.
	Nonce string `json:"nonce"`
	// Fence is 0 in the write that acquires the lease, as its version is not
	// known before; renewals repeat that version.
	Fence int64 `json:"fence,omitempty"`
	// ExpiresMs is in the store's time; 0 for a lease that was released.
	ExpiresMs int64 `json:"expiresMs"`
	// Renewals counts the renewals, so that each write differs.
	Renewals int64 `json:"renewals,omitempty"`
}

// token returns the fencing token of a lease whose object has a version.
func (v value) token(version int64) int64 {
	if v.Fence == 0 {
		return version
	}
	return v.Fence
}

// decode returns the lease of an object. One that cannot be read counts as
// expired, as nobody could renew it.
func decode(o *objectclient.Object) value {
	var v value
	if o == nil || json.Unmarshal(o.Value, &v) != nil {
		return value{}
	}
	return v
}
