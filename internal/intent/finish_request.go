package intent

// finishRequest hands outcomes to the preferred daemon of their shard. It is
// answered once they are committed.
type finishRequest struct {
	Outcomes []recordedOutcome `json:"outcomes"`
}
