package api

// Kind is the kind of an object. The object API stores objects under this name.
type Kind string

// The kinds that operators apply.
const (
	KindClass       Kind = "Class"
	KindWorkspace   Kind = "Workspace"
	KindRoute       Kind = "Route"
	KindPool        Kind = "Pool"
	KindVersion     Kind = "Version"
	KindVersionMove Kind = "VersionMove"
)

// Kinds lists all kinds in the order in which they can be applied: the objects
// that must exist before an object are of kinds that precede its kind.
var Kinds = []Kind{KindClass, KindWorkspace, KindPool, KindVersion, KindRoute, KindVersionMove}

// IsKnown reports whether k is one of Kinds.
func (k Kind) IsKnown() bool {
	for _, kind := range Kinds {
		if k == kind {
			return true
		}
	}
	return false
}
