package objectclient

import (
	"sync/atomic"

	"github.com/juju/errors"
)

// Eras tracks the era of a store. Its zero value is ready for use. It is safe for
// concurrent use.
type Eras struct{ current atomic.Int64 }

// Current returns the highest era that is known.
func (e *Eras) Current() int64 { return e.current.Load() }

// Observe records an era, from a response of the store or from another daemon. It reports
// whether it is higher than all before.
func (e *Eras) Observe(era int64) bool {
	for before := e.current.Load(); era > before; before = e.current.Load() {
		if e.current.CompareAndSwap(before, era) {
			return true
		}
	}
	return false
}

// ReadAnswer records and returns the era that a header value of a response names, 0 if it is
// empty. It returns ErrUnavailable for a late response of an era that has ended: what it says
// may have been lost since then.
func (e *Eras) ReadAnswer(header string) (int64, error) {
	era, err := parseEra(header)
	if err != nil {
		return 0, err
	}
	e.Observe(era)
	if current := e.Current(); era < current {
		return 0, errors.WithType(errors.Annotatef(ErrUnavailable, "response of era %d in era %d", era, current), ErrRestored)
	}
	return era, nil
}

// CheckCondition returns ErrConflict for a condition on a revision of an era that has ended.
// Such a condition is not met, but the store knows only its number, which may have been
// given out again.
func (e *Eras) CheckCondition(version Revision) error {
	if current := e.Current(); version > MustNotExist && version.Era() < current {
		return errors.WithType(errors.Annotatef(ErrConflict, "version %d is of era %d, not %d", version.Number(), version.Era(), current), ErrRestored)
	}
	return nil
}

// CheckWatch returns ErrCompacted for a watch from a revision of an era that has ended. From
// revision 0, all changes that are retained are watched.
func (e *Eras) CheckWatch(since Revision) error {
	if current := e.Current(); since != 0 && since.Era() < current {
		return errors.Annotatef(ErrCompacted, "revision %d is of era %d, not %d", since.Number(), since.Era(), current)
	}
	return nil
}

// CheckWrite returns ErrUnavailable for a write that the store has applied in a higher era
// than that of its condition: it has compared numbers of different eras.
func CheckWrite(version Revision, era int64) error {
	if version > MustNotExist && version.Era() < era {
		return errors.WithType(errors.Annotatef(ErrUnavailable, "version %d of era %d was compared in era %d", version.Number(), version.Era(), era), ErrRestored)
	}
	return nil
}
