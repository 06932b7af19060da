package intent

// finishOp records an outcome.
type finishOp struct {
	key     Key
	nonce   string
	outcome Outcome
	// elsewhere is set for the withdrawal of an intent that was forwarded. When
	// it is not found, its nonce is noted, so that the other daemon cannot
	// commit it later.
	elsewhere bool
	// done is called once the outcome is committed.
	done func()
}
