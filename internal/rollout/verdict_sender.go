package rollout

// VerdictSender sends verdicts to peers. SendVerdict must not block. It may fail to
// deliver a verdict: the verdict also reaches the controller through Collect, and the
// peers through the move's status.
type VerdictSender interface {
	SendVerdict(v Verdict)
}
