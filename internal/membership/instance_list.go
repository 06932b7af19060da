package membership

// InstanceList is a response of the platform's instance list, which lags behind
// the actual instances.
type InstanceList struct {
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
}
