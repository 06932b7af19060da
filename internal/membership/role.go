package membership

// Role tells what runs on an instance.
type Role string

// The roles of instances.
const (
	RoleDaemon   Role = "daemon"
	RoleUpstream Role = "upstream"
)
