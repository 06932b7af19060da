package membership

import "sync/atomic"

// pool holds the current incarnations of one pool's upstreams.
type pool struct {
	records []*record
	subset  atomic.Pointer[subset]
}

// touch marks the loads in the subset as outdated.
func (p *pool) touch() {
	if s := p.subset.Load(); s != nil {
		s.stale.Store(true)
	}
}

// expire makes the next reader choose the subset anew.
func (p *pool) expire() { p.subset.Store(nil) }
