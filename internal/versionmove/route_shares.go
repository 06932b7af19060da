package versionmove

const (
	// evenPart is the part of the new version's share that is divided evenly among the
	// routes, so that a version that is bad on a rare route shows there too. The rest follows
	// the traffic.
	evenPart = 0.5
	// maxRouteShare is the largest share of a route.
	maxRouteShare = maxCanaryShare
)

// routeShares divides a share of all requests among routes. started holds the attempts of
// each route so far. It returns nil if there are fewer than two routes with attempts.
func routeShares(share float64, started map[string]int64) map[string]float64 {
	var total int64
	routes := 0
	for _, count := range started {
		if count > 0 {
			total += count
			routes++
		}
	}
	if routes < 2 {
		return nil
	}
	shares := map[string]float64{}
	for route, count := range started {
		if count == 0 {
			continue
		}
		even := float64(total) / float64(count) / float64(routes)
		shares[route] = roundShare(min(maxRouteShare, share*(1-evenPart+evenPart*even)))
	}
	return shares
}
