package membership

// SumLoad returns the total number of running and of waiting requests in the
// latest load reports of the upstreams. Upstreams without a report are skipped.
func SumLoad(upstreams []Upstream) (running, waiting int) {
	for i := range upstreams {
		if load := upstreams[i].Load; load != nil {
			running += load.Running
			waiting += load.Waiting
		}
	}
	return running, waiting
}
