package peering

import "encoding/json"

// Report is what a daemon says of itself.
type Report struct {
	Name string `json:"n"`
	// Process identifies the process; a restarted daemon has another one.
	Process string `json:"p"`
	IP      string `json:"ip"`
	Domain  string `json:"d"`
	// CallerAddress is where callers connect.
	CallerAddress string `json:"c"`
	// Cores is the processor time of the daemon's instance, in cores.
	Cores float64 `json:"co,omitempty"`
	// Ready says that the daemon serves callers.
	Ready bool `json:"r,omitempty"`
	// Leaving says that the daemon is about to stop.
	Leaving bool `json:"l,omitempty"`
	// ConfigVersion is the configuration in effect, and ConfigAgeMs how long ago
	// it was confirmed as the newest one, in milliseconds; -1 when not known.
	ConfigVersion int64 `json:"v"`
	ConfigAgeMs   int64 `json:"a"`
	// WallMs is the daemon's time of day.
	WallMs int64 `json:"w"`
	// StoreAway says that the store does not answer the daemon.
	StoreAway bool `json:"sa,omitempty"`
	// Yielded is the fencing token of duties that the daemon has given up while it
	// could not write that to the store, else 0.
	Yielded int64 `json:"fy,omitempty"`
	// QuotaFrom names the daemon from whose pool of quotas this one takes.
	QuotaFrom string `json:"qf,omitempty"`
	// UpstreamRevision is the store's revision up to which the list of upstreams
	// is complete, and UpstreamAgeMs how long ago that was confirmed, in
	// milliseconds; -1 when not known.
	UpstreamRevision int64 `json:"ur"`
	UpstreamAgeMs    int64 `json:"ua"`
	// Moves holds the states of version moves, when the daemon reads the store, as
	// its owner encodes them.
	Moves json.RawMessage `json:"mv,omitempty"`
	// Versions holds what the daemon saw of the versions of services with upstreams
	// of two, as its owner encodes it.
	Versions json.RawMessage `json:"vs,omitempty"`
	// Lateness holds how requests were answered lately, by service, as its owner
	// encodes it.
	Lateness json.RawMessage `json:"la,omitempty"`
	// Counts holds requests that began, by window and workspace.
	Counts map[int64]map[string]int64 `json:"u,omitempty"`
}

// ProcessName names the process among those of all daemons.
func (r *Report) ProcessName() string { return r.Name + "/" + r.Process }

// Change is a change of the list of upstreams.
type Change struct {
	// Revision is the store's revision of the change.
	Revision int64  `json:"r"`
	Name     string `json:"n"`
	// Value is the entry as stored; empty for one that is gone.
	Value json.RawMessage `json:"v,omitempty"`
}

// Feed is what an answer tells of the list of upstreams: the changes after the
// revision Since, which the question named, up to that of the report. It is empty
// when the answering daemon no longer knows all of them.
type Feed struct {
	Since    int64    `json:"s"`
	Complete bool     `json:"c,omitempty"`
	Changes  []Change `json:"l,omitempty"`
}

// message is a datagram. A question has no Answer.
type message struct {
	// Number pairs an answer with its question.
	Number uint64 `json:"q"`
	Answer bool   `json:"y,omitempty"`
	// Full asks for a full report.
	Full   bool   `json:"fu,omitempty"`
	Report Report `json:"s"`
	// Feed holds, in a question, the revision that the sender has, and in an
	// answer the changes since.
	Feed Feed `json:"u"`
	// Call and Reply carry a call to the handler of the other daemon.
	Call  json.RawMessage `json:"b,omitempty"`
	Reply json.RawMessage `json:"e,omitempty"`
	// Others are addresses of daemons that the sender knows; they are sent to a
	// daemon that is not known yet.
	Others []string `json:"o,omitempty"`
	// Known is the number of daemons that the sender knows.
	Known int `json:"k,omitempty"`
}
