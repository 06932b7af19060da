package intent

// finishRequest sends outcomes to the preferred daemon of their shard. The
// response is sent once they are committed.
type finishRequest struct {
	Outcomes []recordedOutcome `json:"outcomes"`
}
