package membership

// Evidence is the outcome of a call as an indication of an upstream's health.
type Evidence int

// The kinds of evidence.
const (
	// EvidenceOK is a call that was answered.
	EvidenceOK Evidence = iota
	// EvidenceRefused is a connection that was refused or could not be opened.
	EvidenceRefused
	// EvidenceDraining is a response stating that the upstream accepts no new work.
	EvidenceDraining
	// EvidenceCrash is a connection that broke during a call.
	EvidenceCrash
)

// String returns the label value used in metrics.
func (e Evidence) String() string {
	switch e {
	case EvidenceOK:
		return "ok"
	case EvidenceRefused:
		return "refused"
	case EvidenceDraining:
		return "draining"
	case EvidenceCrash:
		return "crash"
	}
	return "invalid"
}
