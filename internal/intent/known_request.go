package intent

// knownRequest asks whether a dispatch is in progress in a Log.
type knownRequest struct {
	Log   string `json:"log"`
	Nonce string `json:"nonce"`
}
