package daemon

import (
	"rattantide/internal/admin"
	"rattantide/internal/membership"
)

// Status implements admin.StatusSource.
func (d *Daemon) Status() admin.Status {
	s := d.settings
	status := admin.Status{
		Name: s.Name, Address: s.Advertise, Domain: s.Domain, Region: s.Region,
		State: "serving", InFlight: d.server.InFlight(),
		Leases: []admin.Lease{}, Upstreams: []admin.PoolCount{},
	}
	select {
	case <-d.draining:
		status.State = "draining"
	default:
	}
	status.Daemons = countDaemons(d.table.AllDaemons())
	for _, pool := range d.table.Pools() {
		status.Upstreams = append(status.Upstreams, countUpstreams(pool, d.table.AllUpstreams(pool)))
	}
	return status
}

// countDaemons counts the other daemons by state, and this one as live.
func countDaemons(daemons []membership.Daemon) admin.MemberCounts {
	counts := admin.MemberCounts{Live: 1}
	for _, daemon := range daemons {
		if daemon.Leaving {
			counts.Leaving++
		} else {
			counts.Live++
		}
	}
	return counts
}

func countUpstreams(pool string, upstreams []membership.Upstream) admin.PoolCount {
	counts := admin.PoolCount{Pool: pool}
	for _, u := range upstreams {
		if u.Leaving {
			counts.Leaving++
		} else {
			counts.Live++
		}
	}
	return counts
}
