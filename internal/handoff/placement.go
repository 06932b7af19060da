package handoff

// Role is the role of a daemon for a record.
type Role string

// The roles of a daemon for a record.
const (
	// RoleNone is the role of a daemon that does not know the record.
	RoleNone Role = ""
	// RoleHolder is the daemon that processes the record and serves its callers.
	RoleHolder Role = "holder"
	// RoleBackup is a daemon that stores a copy and grants epochs.
	RoleBackup Role = "backup"
	// RolePointer is a daemon that only stores the holder's address.
	RolePointer Role = "pointer"
)

// Address identifies a daemon by its name and network address.
type Address struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Placement is a daemon's knowledge of where a record is held.
type Placement struct {
	Role  Role  `json:"role"`
	Epoch int64 `json:"epoch"`
	// Holder is the daemon that holds the record at Epoch.
	Holder Address `json:"holder"`
	// Workspace is the record's workspace, if known.
	Workspace string `json:"workspace,omitempty"`
}
