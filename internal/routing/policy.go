package routing

// Policy selects one of the candidates. Implementations are safe for
// concurrent use and do not allocate.
type Policy interface {
	// Pick returns an index into candidates, or -1 when there are none.
	Pick(req *Request, candidates []Candidate) int
}
