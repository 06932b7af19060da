package membership

// InstanceClass tells whether an instance can be reclaimed.
type InstanceClass string

// The classes of instances.
const (
	Reclaimable InstanceClass = "reclaimable"
	OnDemand    InstanceClass = "on-demand"
)
