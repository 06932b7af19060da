package fleetsync

import (
	"time"

	"rattantide/internal/objectclient"
)

// departureRetention is how long a departure is remembered. It exceeds the age of a copy
// from which a store is restored, and the time until the store drops the entry again.
const departureRetention = time.Minute

// departures remembers upstreams that are gone. A store that is restored from a copy lists
// them again until it drops them. It is not safe for concurrent use.
type departures struct {
	at map[string]time.Time
	// copied is the revision up to which the objects of the present era may be from the
	// copy; 0 in an era without one.
	copied objectclient.Revision
}

func newDepartures() departures { return departures{at: map[string]time.Time{}} }

// add records that an upstream is gone.
func (d *departures) add(name string, now time.Time) {
	for old, at := range d.at {
		if now.Sub(at) > departureRetention {
			delete(d.at, old)
		}
	}
	d.at[name] = now
}

// remove records that an upstream has registered again.
func (d *departures) remove(name string) { delete(d.at, name) }

// includes reports whether an upstream is known to be gone.
func (d *departures) includes(name string, now time.Time) bool {
	at, known := d.at[name]
	return known && now.Sub(at) <= departureRetention
}

// setCopy records the first revision that was read after a restore.
func (d *departures) setCopy(first objectclient.Revision) { d.copied = first }

// isCopied reports whether an object may be from the copy: nobody has written it since the
// first read after the restore.
func (d *departures) isCopied(version objectclient.Revision) bool {
	return version.Era() == d.copied.Era() && version <= d.copied
}
