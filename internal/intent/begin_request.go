package intent

// beginRequest asks the preferred daemon of a shard for an intent.
type beginRequest struct {
	Key    Key       `json:"key"`
	Digest string    `json:"digest"`
	Nonce  string    `json:"nonce"`
	By     requester `json:"by"`
	// WithinMs is the time left for the commit.
	WithinMs int64 `json:"withinMs"`
}
