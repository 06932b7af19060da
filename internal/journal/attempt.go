package journal

// Attempt is one dispatch of a request.
type Attempt struct {
	Number   int    `json:"number"`
	Upstream string `json:"upstream"`
	Address  string `json:"address"`
	Version  string `json:"version"`
	// FirstEvent is the number of the first event that it was asked for.
	FirstEvent int64 `json:"firstEvent"`
}
