package orders

// batch is the orders of one pass to the engines of one pool.
type batch struct {
	pool    string
	state   *poolState
	version string
	// fenced says that the engines check fencing tokens.
	fenced bool
}
