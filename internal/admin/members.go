package admin

// Members is the number of members, by state.
type Members struct {
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
}
