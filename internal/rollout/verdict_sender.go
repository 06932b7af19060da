package rollout

// VerdictSender sends verdicts to peers. SendVerdict must not block. Delivery may fail,
// because verdicts also reach the peers through the move's status, and the
// controller through Collect.
type VerdictSender interface {
	SendVerdict(v Verdict)
}
