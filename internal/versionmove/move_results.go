package versionmove

import "time"

// moveSums holds the sums of the tallies of both versions of a move, in all and by route.
type moveSums struct {
	old, new               Tally
	oldByRoute, newByRoute map[string]Tally
}

// startedByRoute returns the attempts at both versions by route.
func (s moveSums) startedByRoute() map[string]int64 {
	started := map[string]int64{}
	for route, t := range s.oldByRoute {
		started[route] += t.Started
	}
	for route, t := range s.newByRoute {
		started[route] += t.Started
	}
	return started
}

// moveResults derives the Results of a move, in all and by route.
type moveResults struct {
	all    resultsTracker
	routes map[string]*resultsTracker
}

// reset starts anew at these sums.
func (r *moveResults) reset(sums moveSums) {
	r.all.reset(sums.old, sums.new)
	r.routes = map[string]*resultsTracker{}
	for route := range sums.startedByRoute() {
		r.route(route).reset(sums.oldByRoute[route], sums.newByRoute[route])
	}
}

// update returns the results at these sums.
func (r *moveResults) update(now time.Time, sums moveSums) (all Results, routes map[string]Results) {
	routes = map[string]Results{}
	for route, newSum := range sums.newByRoute {
		routes[route] = r.route(route).update(now, sums.oldByRoute[route], newSum)
	}
	return r.all.update(now, sums.old, sums.new), routes
}

// route returns the tracker of a route, which it creates if there is none.
func (r *moveResults) route(route string) *resultsTracker {
	if r.routes == nil {
		r.routes = map[string]*resultsTracker{}
	}
	if r.routes[route] == nil {
		r.routes[route] = &resultsTracker{}
	}
	return r.routes[route]
}
