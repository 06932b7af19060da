package intent

// knownRequest asks a Log whether a dispatch is in progress there.
type knownRequest struct {
	Log   string `json:"log"`
	Nonce string `json:"nonce"`
}
