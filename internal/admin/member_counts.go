package admin

// MemberCounts is the number of daemons, or of upstreams of a pool, by state.
type MemberCounts struct {
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
}
