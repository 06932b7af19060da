package journal

import (
	"container/list"
	"time"
)

// retentionList holds records in the order in which they expire. It is guarded
// by the journal's mutex.
type retentionList struct {
	list list.List
}

// retentionEntry is a record's position in a retentionList.
type retentionEntry struct {
	list      *retentionList
	element   *list.Element
	expiresAt time.Time
}

// add appends a record, and removes it from its previous list. expiresAt must
// not be earlier than that of the records in the list.
func (r *retentionList) add(rec *Record, expiresAt time.Time) {
	rec.retention.remove()
	rec.retention = retentionEntry{list: r, element: r.list.PushBack(rec), expiresAt: expiresAt}
}

// first returns the record that expires first, or nil.
func (r *retentionList) first() *Record {
	if front := r.list.Front(); front != nil {
		return front.Value.(*Record)
	}
	return nil
}

// nextExpiry returns when the first record expires, or false if the list is empty.
func (r *retentionList) nextExpiry() (time.Time, bool) {
	if rec := r.first(); rec != nil {
		return rec.retention.expiresAt, true
	}
	return time.Time{}, false
}

func (e *retentionEntry) remove() {
	if e.list != nil {
		e.list.list.Remove(e.element)
		*e = retentionEntry{}
	}
}
