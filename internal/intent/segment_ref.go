package intent

// segmentRef names a sealed segment of a shard.
type segmentRef struct {
	Name string `json:"name"`
	// UntilMs is when the latest of its outcomes was recorded.
	UntilMs int64 `json:"untilMs"`
}
