package handoff

import "rattantide/internal/journal"

// path is where the peer API of this package is served.
const path = "/peer/v1/records"

// copyRequest stores a copy at a backup. An update has no body.
type copyRequest struct {
	Copy   *journal.Copy `json:"copy"`
	Holder Address       `json:"holder"`
	Update bool          `json:"update,omitempty"`
}

// copyAnswer refuses a copy with a lower epoch than the one known.
type copyAnswer struct {
	Accepted bool  `json:"accepted"`
	Where    Where `json:"where"`
}

// claimRequest asks a backup for an epoch.
type claimRequest struct {
	ID     string  `json:"id"`
	Epoch  int64   `json:"epoch"`
	Holder Address `json:"holder"`
	// Want asks for the copy.
	Want bool `json:"want,omitempty"`
	// Agreed says that the former holder asked for the change and need not be
	// told.
	Agreed bool `json:"agreed,omitempty"`
}

// claimAnswer says whether the epoch was granted, and otherwise who holds the
// record.
type claimAnswer struct {
	Granted bool          `json:"granted"`
	Where   Where         `json:"where"`
	Copy    *journal.Copy `json:"copy,omitempty"`
}

// adoptRequest hands a record over.
type adoptRequest struct {
	Copy  *journal.Copy `json:"copy"`
	Epoch int64         `json:"epoch"`
	From  Address       `json:"from"`
	// Backup grants the epoch; it may be missing.
	Backup Address `json:"backup"`
}

// adoptAnswer acknowledges an adoption.
type adoptAnswer struct {
	Adopted bool `json:"adopted"`
	// Reason says why not.
	Reason string `json:"reason,omitempty"`
}

// movedRequest tells a former holder of a higher epoch.
type movedRequest struct {
	ID    string `json:"id"`
	Where Where  `json:"where"`
}

// releaseRequest lets a backup drop the body of a record and remember only its
// holder.
type releaseRequest struct {
	ID     string  `json:"id"`
	Epoch  int64   `json:"epoch"`
	Holder Address `json:"holder"`
}

// checkRequest asks for several records at once.
type checkRequest struct {
	IDs []string `json:"ids"`
}

// checkAnswer has an entry for each identifier that is known.
type checkAnswer struct {
	Records map[string]Where `json:"records"`
}
