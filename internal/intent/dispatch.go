package intent

// dispatch is a call that this daemon was granted.
type dispatch struct {
	key Key
	// nonce is the one in the record.
	nonce string
}
