package membership

// State is an export of a Table: its full state, or the changes since a position
// requested by the receiver.
type State struct {
	// Epoch identifies the Table that Seq belongs to.
	Epoch string `json:"epoch"`
	// Seq is the Table's change counter at the time of the export.
	Seq int64 `json:"seq"`
	// Full is set if the State is complete, so that instances missing from it are
	// absent from the instance list.
	Full bool `json:"full,omitempty"`
	// ListRevision is the revision of the most recently applied instance list.
	ListRevision int64           `json:"listRevision"`
	Instances    []InstanceState `json:"instances,omitempty"`
	Domains      []DomainState   `json:"domains,omitempty"`
}
