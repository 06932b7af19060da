package routing

// Term is one part of the cost of sending a request to a candidate, in seconds of delay for
// the request or for those that run at the candidate. It is 0 if the candidate's state that it
// depends on is unknown. A Term is safe for concurrent use and does not allocate.
type Term func(req *Request, c *Candidate) float64
