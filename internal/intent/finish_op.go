package intent

// finishOp is a request to record an outcome.
type finishOp struct {
	key     Key
	nonce   string
	outcome Outcome
	// mayBeCommittedRemotely is set for the withdrawal of a forwarded intent.
	// When the intent is not found, its nonce is recorded as withdrawn, so that
	// the other daemon cannot commit it later.
	mayBeCommittedRemotely bool
	// onCommit is called once the outcome is committed.
	onCommit func()
}
