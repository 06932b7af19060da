package membership

// State is what a relay passes on: the whole of its Table, or what changed in
// it since a point that the receiver names.
type State struct {
	// Epoch identifies the Table that Seq belongs to.
	Epoch string `json:"epoch"`
	// Seq is the point in the Table's history up to which this State reaches.
	Seq int64 `json:"seq"`
	// Full says that instances which are not named are not listed.
	Full bool `json:"full,omitempty"`
	// ListRevision is the revision of the instance list that was applied last.
	ListRevision int64           `json:"listRevision"`
	Instances    []InstanceState `json:"instances,omitempty"`
	Domains      []DomainState   `json:"domains,omitempty"`
}
