package peering

import (
	"context"
	"encoding/json"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

const (
	// daemonKind is the kind of the daemons' entries in the store.
	daemonKind = "daemons"
	// registerInterval is how often the entries in the store are read, so that
	// daemons that do not know each other learn each other's address.
	registerInterval   = 30 * time.Second
	registerRetryDelay = time.Second
	// eraCheckInterval is how often a daemon checks whether the store was restored, which
	// may have lost its entry.
	eraCheckInterval = 2 * time.Second
)

// entry is a daemon's entry in the store.
type entry struct {
	IP string `json:"ip"`
}

// Registrar maintains a daemon's entry in the store and adds the other daemons that
// have an entry. All fields are required.
type Registrar struct {
	Store objectclient.Store
	Name  string
	IP    string
	// Add adds daemons by the IP addresses of their instances.
	Add func(ips ...string)
	// ReadsStore reports whether this daemon reads the entries regularly. The others
	// learn from it of daemons that they do not know.
	ReadsStore func() bool
	// OnRegistered is called after each successful read of the entries.
	OnRegistered func()
	Logger       *log.Logger
}

// Run maintains the entry and reads the others periodically until ctx ends. It
// returns nil.
func (r *Registrar) Run(ctx context.Context) error {
	isRegistered := false
	for ctx.Err() == nil {
		wait := registerInterval
		if !isRegistered || r.ReadsStore() {
			err := r.register(ctx)
			isRegistered = isRegistered || err == nil
			if err != nil && ctx.Err() == nil {
				wait = registerRetryDelay
				r.Logger.Warn("daemon registration failed; retrying", "error", err)
			}
		}
		if r.waitForRestore(ctx, wait, r.Store.Eras().Current()) {
			isRegistered = false
		}
	}
	return nil
}

// waitForRestore waits for a time, or until the era of the store is higher than era. It
// reports whether it is.
func (r *Registrar) waitForRestore(ctx context.Context, wait time.Duration, era int64) bool {
	deadline := time.After(wait)
	check := time.NewTicker(eraCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-deadline:
			return false
		case <-check.C:
			if r.Store.Eras().Current() > era {
				return true
			}
		}
	}
}

// register reads the entries and writes this daemon's if it is missing. An old list
// that contains this daemon's entry suffices: a daemon whose entry is newer has read
// that entry and sends a request.
func (r *Registrar) register(ctx context.Context) error {
	isListed, err := r.addListed(objectclient.AllowStale(ctx))
	if err != nil {
		return err
	}
	if !isListed {
		if err := r.writeEntry(ctx); err != nil {
			return err
		}
		// Of two daemons that start at the same time, at least one reads the entry of the
		// other, as both write before they read.
		if _, err := r.addListed(ctx); err != nil {
			return err
		}
	}
	r.OnRegistered()
	return nil
}

// addListed adds the daemons that have an entry and reports whether this daemon has
// one.
func (r *Registrar) addListed(ctx context.Context) (isListed bool, err error) {
	list, err := r.Store.List(ctx, daemonKind)
	if err != nil {
		return false, errors.Trace(err)
	}
	for _, o := range list.Items {
		var e entry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			r.Logger.Warn("invalid daemon entry ignored", "entry", o.Name, "error", err)
			continue
		}
		if o.Name == r.Name {
			isListed = e.IP == r.IP
			continue
		}
		r.Add(e.IP)
	}
	return isListed, nil
}

func (r *Registrar) writeEntry(ctx context.Context) error {
	value, err := json.Marshal(entry{IP: r.IP})
	if err != nil {
		return errors.Trace(err)
	}
	stored, err := r.Store.Put(ctx, daemonKind, r.Name, objectclient.MustNotExist, value)
	if !errors.Is(err, objectclient.ErrConflict) {
		return errors.Trace(err)
	}
	var e entry
	if stored != nil && json.Unmarshal(stored.Value, &e) == nil && e.IP == r.IP {
		return nil
	}
	_, err = r.Store.Put(ctx, daemonKind, r.Name, objectclient.AnyVersion, value)
	return errors.Trace(err)
}
