package intent

// segmentRef references a sealed segment of a shard.
type segmentRef struct {
	Name string `json:"name"`
	// UntilMs is the time of the latest outcome in the segment, in Unix
	// milliseconds.
	UntilMs int64 `json:"untilMs"`
}
