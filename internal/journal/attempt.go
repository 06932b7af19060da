package journal

// Attempt is one dispatch of a request.
type Attempt struct {
	// Number counts the attempts of the request, starting at 1.
	Number int `json:"number"`
	// Upstream is the name of the upstream.
	Upstream string `json:"upstream"`
	Address  string `json:"address"`
	Version  string `json:"version"`
	// FirstEvent is the number of the first event requested from the upstream.
	FirstEvent int64 `json:"firstEvent"`
}
