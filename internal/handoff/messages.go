package handoff

import "rattantide/internal/journal"

// recordsPath is the path prefix of this package's peer API.
const recordsPath = "/peer/v1/records"

// copyRequest stores a copy at a backup. An update has no request body.
type copyRequest struct {
	Copy   *journal.Copy `json:"copy"`
	Holder Address       `json:"holder"`
	Update bool          `json:"update,omitempty"`
}

// copyResponse is the response to a copyRequest. A copy with a lower epoch than
// the known one is not accepted.
type copyResponse struct {
	Accepted  bool      `json:"accepted"`
	Placement Placement `json:"where"`
}

// claimRequest asks the backup of a record to grant Epoch to Holder.
type claimRequest struct {
	ID     string  `json:"id"`
	Epoch  int64   `json:"epoch"`
	Holder Address `json:"holder"`
	// IncludeCopy requests the copy in the response.
	IncludeCopy bool `json:"want,omitempty"`
	// RequestedByHolder reports that the former holder requested the change and
	// need not be notified.
	RequestedByHolder bool `json:"agreed,omitempty"`
}

// claimResponse is the response to a claimRequest. Placement names the holder
// after the claim.
type claimResponse struct {
	Granted   bool          `json:"granted"`
	Placement Placement     `json:"where"`
	Copy      *journal.Copy `json:"copy,omitempty"`
}

// adoptRequest hands a record over to another daemon.
type adoptRequest struct {
	Copy  *journal.Copy `json:"copy"`
	Epoch int64         `json:"epoch"`
	From  Address       `json:"from"`
	// Backup is the daemon that grants the epoch. It may be empty.
	Backup Address `json:"backup"`
}

// adoptResponse is the response to an adoptRequest.
type adoptResponse struct {
	Adopted bool `json:"adopted"`
	// Reason is why the record was not adopted.
	Reason string `json:"reason,omitempty"`
}

// movedRequest notifies a former holder of a higher epoch.
type movedRequest struct {
	ID        string    `json:"id"`
	Placement Placement `json:"where"`
}

// releaseRequest allows a backup to replace its copy of a record by a pointer
// to the holder.
type releaseRequest struct {
	ID     string  `json:"id"`
	Epoch  int64   `json:"epoch"`
	Holder Address `json:"holder"`
}

// checkRequest asks a backup for the placements of several records.
type checkRequest struct {
	IDs []string `json:"ids"`
}

// checkResponse has the placement of each known record, by identifier.
type checkResponse struct {
	Records map[string]Placement `json:"records"`
}
