package membership

// Role is the type of process that runs on an instance.
type Role string

// The roles of instances.
const (
	RoleDaemon   Role = "daemon"
	RoleUpstream Role = "upstream"
)
