package intent

// recordedOutcome is one outcome of a finishRequest.
type recordedOutcome struct {
	Key     Key     `json:"key"`
	Nonce   string  `json:"nonce"`
	Outcome Outcome `json:"outcome"`
}
