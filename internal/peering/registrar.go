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
	// daemonKind is the kind of the daemons' own entries in the store.
	daemonKind = "daemons"
	// registerEvery is how often the entries are compared with what is known, so
	// that daemons that do not know of each other meet.
	registerEvery = 30 * time.Second
	registerRetry = time.Second
)

// entry is a daemon's entry in the store.
type entry struct {
	IP string `json:"ip"`
}

// Registrar keeps a daemon's entry in the store and makes the others known. All
// fields are required.
type Registrar struct {
	Store objectclient.Store
	Name  string
	IP    string
	// Add makes daemons known by the addresses of their instances.
	Add func(ips ...string)
	// Registered is called after each comparison.
	Registered func()
	Logger     *log.Logger
}

// Run registers until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	written := false
	for ctx.Err() == nil {
		wait := registerEvery
		err := r.register(ctx, &written)
		if err != nil && ctx.Err() == nil {
			wait = registerRetry
			r.Logger.Warn("daemon could not be registered", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// register writes the own entry before it lists those of the others: of two
// daemons that start at the same time at least one then sees the other.
func (r *Registrar) register(ctx context.Context, written *bool) error {
	if !*written {
		if err := r.write(ctx); err != nil {
			return err
		}
		*written = true
	}
	list, err := r.Store.List(ctx, daemonKind)
	if err != nil {
		return errors.Trace(err)
	}
	own := false
	for _, o := range list.Items {
		var e entry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			r.Logger.Warn("entry names no daemon", "entry", o.Name, "error", err)
			continue
		}
		if o.Name == r.Name {
			own = e.IP == r.IP
			continue
		}
		r.Add(e.IP)
	}
	*written = own
	r.Registered()
	return nil
}

func (r *Registrar) write(ctx context.Context) error {
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
