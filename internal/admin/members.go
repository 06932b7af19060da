package admin

// Members counts members by state.
type Members struct {
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
}
