package membership

// Evidence is what a call showed about an upstream.
type Evidence int

// The kinds of evidence.
const (
	// EvidenceOK is a call that was answered.
	EvidenceOK Evidence = iota
	// EvidenceRefused is a connection that was refused or could not be opened.
	EvidenceRefused
	// EvidenceDraining is an answer that the upstream takes no new work.
	EvidenceDraining
	// EvidenceCrash is a connection that broke during a call.
	EvidenceCrash
)

// String returns the name that metrics use.
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
