package admission

import "time"

// Request is what admission needs to know of a request.
type Request struct {
	ID        string
	Workspace string
	Class     string
	Pool      string
	// Priority orders classes, 0 (lowest) to 9.
	Priority int
	// Cost is the work that the request brings, in tokens; it is what
	// workspaces share fairly. Values below 1 count as 1.
	Cost float64
	// AcceptedAt is when the request was accepted. One that comes back from an
	// upstream that was full goes before later ones of its workspace.
	AcceptedAt time.Time
	// Deadline bounds the whole answer. Zero means none.
	Deadline time.Time
	// FirstBy is when the first answer is due; a request that cannot have it by
	// then is refused at once. Zero means that only Deadline counts.
	FirstBy time.Time
	// FirstTarget and GapTarget are the class's targets to the first token (or
	// the whole answer of a service) and between tokens; 0 means none.
	FirstTarget time.Duration
	GapTarget   time.Duration
	// Within is the share of requests that must meet the targets.
	Within float64
}

// maxCost bounds the cost of a request, so that a wrong estimate cannot keep
// its workspace waiting for thousands of rounds.
const maxCost = 64 << 10

func (r *Request) cost() float64 { return min(max(1, r.Cost), maxCost) }
