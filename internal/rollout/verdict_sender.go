package rollout

// VerdictSender tells peers of a verdict. Tell must not block; delivery may
// fail, because peers also find out from the move's status and through Collect.
type VerdictSender interface {
	Tell(v Verdict)
}
