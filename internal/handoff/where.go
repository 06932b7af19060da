package handoff

// Role is what a daemon has of a record.
type Role string

// The roles of a daemon for a record.
const (
	RoleNone   Role = ""
	RoleHolder Role = "holder"
	// RoleBackup has a copy and grants epochs.
	RoleBackup Role = "backup"
	// RolePointer only remembers the holder.
	RolePointer Role = "pointer"
)

// Address names a daemon.
type Address struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Where is what a daemon knows of a record.
type Where struct {
	Role  Role  `json:"role"`
	Epoch int64 `json:"epoch"`
	// Holder is the daemon that holds the record at Epoch.
	Holder Address `json:"holder"`
	// Workspace is the record's, if it is known.
	Workspace string `json:"workspace,omitempty"`
}
