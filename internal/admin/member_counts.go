package admin

// MemberCounts is the number of members, by state.
type MemberCounts struct {
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
}
