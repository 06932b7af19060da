package membership

// Reported sums up the requests that run and wait at upstreams by their latest
// load reports.
func Reported(upstreams []Upstream) (running, waiting int) {
	for i := range upstreams {
		if load := upstreams[i].Load; load != nil {
			running += load.Running
			waiting += load.Waiting
		}
	}
	return running, waiting
}
