package intent

// beginRequest asks the preferred daemon of a shard to commit an intent.
type beginRequest struct {
	Key       Key       `json:"key"`
	Digest    string    `json:"digest"`
	Nonce     string    `json:"nonce"`
	Requester requester `json:"by"`
	// CommitWithinMs is the time left to commit the intent, in milliseconds.
	CommitWithinMs int64 `json:"withinMs"`
}
