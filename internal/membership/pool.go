package membership

import "sync/atomic"

// pool holds the current incarnations of one pool's upstreams.
type pool struct {
	records []*record
	subset  atomic.Pointer[subset]
}

// markLoadsStale makes the next read of the subset copy the latest load reports.
func (p *pool) markLoadsStale() {
	if s := p.subset.Load(); s != nil {
		s.loadsStale.Store(true)
	}
}

// invalidate makes the next read select the subset again.
func (p *pool) invalidate() { p.subset.Store(nil) }
