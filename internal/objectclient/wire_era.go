package objectclient

import (
	"strconv"

	"github.com/juju/errors"
)

// EraHeader is the response header of the object API with the store's era.
const EraHeader = "X-Store-Era"

// parseEra returns the era that a header value names, and 0 for none. The error wraps
// ErrUnavailable.
func parseEra(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseInt(text, 10, 64)
	if err != nil || era < 0 || era > maxEra {
		return 0, errors.Annotatef(ErrUnavailable, "invalid era %q", text)
	}
	return era, nil
}

// setEra adds the era to a revision that was received as a number.
func (r *Revision) setEra(era int64) error {
	revision, err := NewRevision(era, int64(*r))
	if err != nil {
		return err
	}
	*r = revision
	return nil
}

func (o *Object) setEra(era int64) error { return o.Version.setEra(era) }

func (l *ObjectList) setEra(era int64) error {
	for i := range l.Items {
		if err := l.Items[i].setEra(era); err != nil {
			return err
		}
	}
	return l.Revision.setEra(era)
}

func (e *Event) setEra(era int64) error {
	if e.Object != nil {
		if err := e.Object.setEra(era); err != nil {
			return err
		}
	}
	return e.Revision.setEra(era)
}
