package intent

// grantedDispatch is a call that this daemon was granted permission to dispatch.
type grantedDispatch struct {
	key Key
	// nonce is the nonce of the recorded entry.
	nonce string
}
