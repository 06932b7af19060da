package journal

import (
	"container/list"
	"time"
)

// retention lists records in the order in which their time is over. It is
// guarded by the journal's mutex.
type retention struct {
	list list.List
}

// kept is a record's place in a retention.
type kept struct {
	in      *retention
	element *list.Element
	until   time.Time
}

// add appends a record, and takes it out of where it was before.
func (r *retention) add(rec *Record, until time.Time) {
	rec.kept.remove()
	rec.kept = kept{in: r, element: r.list.PushBack(rec), until: until}
}

// first returns the record whose time is over first, or nil.
func (r *retention) first() *Record {
	if front := r.list.Front(); front != nil {
		return front.Value.(*Record)
	}
	return nil
}

// next returns when that time is over.
func (r *retention) next() (time.Time, bool) {
	if rec := r.first(); rec != nil {
		return rec.kept.until, true
	}
	return time.Time{}, false
}

func (k *kept) remove() {
	if k.in != nil {
		k.in.list.Remove(k.element)
		*k = kept{}
	}
}
