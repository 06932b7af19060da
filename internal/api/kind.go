package api

// Kind names an object kind. The object API stores each kind under this name.
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

// Kinds lists all kinds in the order in which they can be applied: a kind
// refers only to kinds before it.
var Kinds = []Kind{KindClass, KindWorkspace, KindPool, KindVersion, KindRoute, KindVersionMove}

// Known reports whether k is one of Kinds.
func (k Kind) Known() bool {
	for _, known := range Kinds {
		if k == known {
			return true
		}
	}
	return false
}
