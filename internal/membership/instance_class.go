package membership

// InstanceClass states whether the cloud can reclaim an instance.
type InstanceClass string

// The classes of instances.
const (
	Reclaimable InstanceClass = "reclaimable"
	OnDemand    InstanceClass = "on-demand"
)
