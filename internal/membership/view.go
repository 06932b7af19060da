package membership

import (
	"sort"
)

// view is the read-optimized index of a Table. It is immutable except for the
// pools' subsets, and for the records, which are guarded by Table.mu.
type view struct {
	self       Daemon
	daemons    []Daemon
	allDaemons []Daemon
	pools      map[string]*pool
	poolNames  []string
	// upstreams holds the current incarnation of each name.
	upstreams map[string]*record
}

func newView(records map[incarnation]*record, self Daemon) *view {
	v := &view{self: self, pools: map[string]*pool{}, upstreams: map[string]*record{}}
	daemons := map[string]*record{}
	for _, r := range records {
		if r.removed {
			continue
		}
		current := v.upstreams
		if r.Role == RoleDaemon {
			current = daemons
		}
		if other := current[r.Name]; other == nil || supersedes(r, other) {
			current[r.Name] = r
		}
	}
	for _, r := range v.upstreams {
		p := v.pools[r.Pool]
		if p == nil {
			p = &pool{}
			v.pools[r.Pool] = p
			// The pool of an instance is unknown until the list contains it.
			if r.Pool != "" {
				v.poolNames = append(v.poolNames, r.Pool)
			}
		}
		p.records = append(p.records, r)
	}
	sort.Strings(v.poolNames)
	for _, p := range v.pools {
		sort.Slice(p.records, func(i, j int) bool { return p.records[i].Name < p.records[j].Name })
	}
	for _, r := range daemons {
		d := r.daemon()
		if r.Name == self.Name {
			if r.Address == self.Address {
				v.self.Leaving, v.self.LeavingBy = v.self.Leaving || d.Leaving, d.LeavingBy
			}
			continue
		}
		v.allDaemons = append(v.allDaemons, d)
	}
	sort.Slice(v.allDaemons, func(i, j int) bool { return v.allDaemons[i].Name < v.allDaemons[j].Name })
	for _, d := range v.allDaemons {
		if !d.Leaving {
			v.daemons = append(v.daemons, d)
		}
	}
	return v
}

// supersedes reports whether a, rather than b, is the current incarnation of their
// name: a listed incarnation takes precedence over an unlisted one, and otherwise the
// one whose record was created later takes precedence.
func supersedes(a, b *record) bool {
	if a.listed != b.listed {
		return a.listed
	}
	return a.createdSeq > b.createdSeq
}
