package admission

import "time"

// Request is the metadata of a request that admission decides on.
type Request struct {
	ID        string
	Workspace string
	Class     string
	Pool      string
	// Priority orders classes, 0 (lowest) to 9.
	Priority int
	// Cost is the work of the request, in tokens, by which capacity is shared
	// fairly among workspaces. Values below 1 count as 1.
	Cost float64
	// AcceptedAt is when the request was accepted. A request that is returned
	// by an upstream with a full queue is queued before later ones of its
	// workspace.
	AcceptedAt time.Time
	// Deadline bounds the whole answer. Zero means none.
	Deadline time.Time
	// FirstDeadline is when the first token or answer is due. A request that
	// cannot meet it is refused at once. Zero means that only Deadline applies.
	FirstDeadline time.Time
	// FirstTarget and GapTarget are the class's targets for the time to the
	// first token (or to the whole answer of a service) and the time between
	// tokens; 0 means none.
	FirstTarget time.Duration
	GapTarget   time.Duration
	// Within is the share of requests that must meet the targets.
	Within float64
	// Key returns a hash of the content, which is the same when the caller returns after a
	// refusal. It is called only when it is needed; nil means that there is none.
	Key func() uint64
	// isReturning reports whether the request comes at the moment to which Retry-After pointed
	// for its content.
	isReturning bool
}

// maxCost bounds the cost of a request, so that a wrong estimate cannot block
// its workspace for thousands of rounds.
const maxCost = 64 << 10

func (r *Request) cost() float64 { return min(max(1, r.Cost), maxCost) }
