package objectclient

import "github.com/juju/errors"

// Revision is a position in the history of a store. It consists of the number by which the
// store counts its changes, and of the era of that number: a store that is restored from a
// copy forgets changes and gives their numbers out again, in a higher era.
//
// Revisions are ordered by era, then by number, so that all comparisons hold across a
// restore: what was read in a higher era was read later, and numbers are compared only
// within one era. Equal revisions stand for the same change. A revision of a lower era
// names nothing in the present store: watches cannot continue from it, and conditions on it
// are not met.
//
// The order says when a change was read, not when its content was made: an object that a
// restored store returns in its new era may be older than one that was read before.
type Revision int64

const (
	// numberBits is the number of bits for the store's number. A Revision of the first
	// 8,192 eras is exact as a JSON number.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(62-numberBits) - 1
)

// NewRevision returns the revision of a number in an era. It returns ErrUnavailable if one of
// them is negative or too large, so that the response that it is from cannot be used.
func NewRevision(era, number int64) (Revision, error) {
	if era < 0 || era > maxEra || number < 0 || number > maxNumber {
		return 0, errors.Annotatef(ErrUnavailable, "invalid revision %d of era %d", number, era)
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era, which is 0 for stores that name none.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the number by which the store knows the revision in its era.
func (r Revision) Number() int64 { return int64(r) & maxNumber }
