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

// Kinds lists all kinds in the order in which they can be applied: an object
// requires only objects of earlier kinds to exist. A pool can be applied before
// the version that it names.
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
