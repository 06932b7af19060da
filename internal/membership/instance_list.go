package membership

// InstanceList is the answer of the platform's instance list, which lags.
type InstanceList struct {
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
}
