package peering

import (
	"encoding/json"

	"rattantide/internal/objectclient"
)

// Report is the state of a daemon as reported by itself.
type Report struct {
	Name string `json:"n"`
	// Process identifies the process; it changes when the daemon restarts.
	Process string `json:"p"`
	IP      string `json:"ip"`
	Domain  string `json:"d"`
	// CallerAddress is the address that callers connect to.
	CallerAddress string `json:"c"`
	// Cores is the processor capacity of the daemon's instance, in cores.
	Cores float64 `json:"co,omitempty"`
	// Ready is set if the daemon serves callers.
	Ready bool `json:"r,omitempty"`
	// Leaving is set if the daemon is about to stop.
	Leaving bool `json:"l,omitempty"`
	// ConfigVersion is the version of the configuration in effect. ConfigAgeMs is
	// the time since it was last confirmed as the newest one, in milliseconds; -1
	// if unknown.
	ConfigVersion int64 `json:"v"`
	ConfigAgeMs   int64 `json:"a"`
	// WallMs is the daemon's wall clock time, in Unix milliseconds.
	WallMs int64 `json:"w"`
	// StoreUnavailable is set if the daemon's reads of the store fail.
	StoreUnavailable bool `json:"sa,omitempty"`
	// LostPools names the pools of which the daemon reaches no upstream, and LacksUpstreams is
	// set if these are all pools with upstreams.
	LostPools      []string `json:"lp,omitempty"`
	LacksUpstreams bool     `json:"lk,omitempty"`
	// Era is the highest era of the store that the daemon knows of, and EraSinceMs the true
	// time since which some daemon knows of it, in Unix milliseconds.
	Era        int64 `json:"e,omitempty"`
	EraSinceMs int64 `json:"es,omitempty"`
	// YieldedToken is the fencing token of the duty lease if the daemon gave the lease up
	// but could not write that to the store, else 0.
	YieldedToken int64 `json:"fy,omitempty"`
	// QuotaSource is the name of the daemon from whose pool this daemon obtains
	// quotas.
	QuotaSource string `json:"qf,omitempty"`
	// UpstreamRevision is the store revision up to which the daemon's list of
	// upstreams is complete. UpstreamAgeMs is the time since that was last
	// confirmed, in milliseconds; -1 if unknown.
	UpstreamRevision objectclient.Revision `json:"ur"`
	UpstreamAgeMs    int64                 `json:"ua"`
	// Evacuation holds the evacuated failure domains, or nil if they are not known.
	Evacuation *Evacuation `json:"ec,omitempty"`
	// Quarantine holds the encoded evidence of parts of prompts that crash upstreams.
	Quarantine json.RawMessage `json:"qt,omitempty"`
	// RequestQuarantine holds the encoded evidence of requests that crash upstreams.
	RequestQuarantine json.RawMessage `json:"qr,omitempty"`
	// UpstreamLimits holds the encoded limits that upstreams name.
	UpstreamLimits json.RawMessage `json:"ul,omitempty"`
	// LeavingUpstreams holds the encoded upstreams that have said that they are leaving.
	LeavingUpstreams json.RawMessage `json:"lu,omitempty"`
	// MoveStates holds the encoded states of version moves if the daemon reads the
	// store.
	MoveStates json.RawMessage `json:"mv,omitempty"`
	// VersionTallies holds the daemon's encoded results per version, for services whose
	// upstreams serve two versions.
	VersionTallies json.RawMessage `json:"vs,omitempty"`
	// LatencyHistograms holds the encoded histograms of the latencies of recent
	// requests relative to their targets, by service.
	LatencyHistograms json.RawMessage `json:"la,omitempty"`
	// RequestCounts holds the number of started requests by window and workspace.
	RequestCounts map[int64]map[string]int64 `json:"u,omitempty"`
	// FinalCounts holds the encoded final counts of usage windows that the daemon knows.
	FinalCounts json.RawMessage `json:"uf,omitempty"`
}

// ProcessName returns a name of the process that is unique among all daemons.
func (r *Report) ProcessName() string { return r.Name + "/" + r.Process }

// Change is a change of the list of upstreams.
type Change struct {
	// Revision is the store revision of the change.
	Revision objectclient.Revision `json:"r"`
	Name     string                `json:"n"`
	// Value is the entry as stored, or empty for a deletion.
	Value json.RawMessage `json:"v,omitempty"`
}

// Feed holds the changes of the list of upstreams after the revision Since of the
// request, up to the UpstreamRevision of the report. Complete is unset if the
// sender cannot provide all of them.
type Feed struct {
	Since    objectclient.Revision `json:"s"`
	Complete bool                  `json:"c,omitempty"`
	Changes  []Change              `json:"l,omitempty"`
}

// message is the content of a datagram: a request for a report, the response to
// one, a call, or the reply to a call.
type message struct {
	// Number pairs a response with its request and a reply with its call.
	Number     uint64 `json:"q"`
	IsResponse bool   `json:"y,omitempty"`
	// Answered is, in a request, the number of the sender's latest request to the receiver
	// that was answered, or 0. It proves that the sender was alive after that answer.
	Answered uint64 `json:"an,omitempty"`
	// Full requests a full report.
	Full   bool   `json:"fu,omitempty"`
	Report Report `json:"s"`
	// Feed holds the sender's upstream revision in a request, and the changes after
	// that revision in a response.
	Feed Feed `json:"u"`
	// Call is the body of a call, and Reply the body of its reply.
	Call  json.RawMessage `json:"b,omitempty"`
	Reply json.RawMessage `json:"e,omitempty"`
	// Addresses holds, in a response, the IP addresses of the daemons that the
	// sender knows. They are sent to a daemon that knows fewer.
	Addresses []string `json:"o,omitempty"`
	// Evidence holds, in a response, encoded evidence of other daemons.
	Evidence []byte `json:"ev,omitempty"`
	// PeerCount is the number of other daemons that the sender knows.
	PeerCount int `json:"k,omitempty"`
}
