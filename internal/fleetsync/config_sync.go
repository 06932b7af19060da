package fleetsync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/fleetconfig"
	"rattantide/internal/objectclient"
)

const (
	// readEvery is how often the configuration is read: several reads fit into
	// the time within which a change must be in effect.
	readEvery = 700 * time.Millisecond
	// staleAfter is the age of the configuration's confirmation from which on a
	// daemon that hears of it from others reads it itself.
	staleAfter = 1900 * time.Millisecond
	// lookEvery is how often such a daemon looks at the age.
	lookEvery = 200 * time.Millisecond
	// retryEvery is how often it is tried while reads fail.
	retryEvery = 300 * time.Millisecond
	// probeEvery is how often a daemon that hears from others looks whether the
	// store answers it again.
	probeEvery = 2 * time.Second
	// jitter spreads the reads of the daemons.
	jitter = 0.2
)

// ConfigOptions configures a ConfigSync. All fields are required.
type ConfigOptions struct {
	Store objectclient.Store
	// Kind and Name locate the configuration in the store.
	Kind string
	Name string
	// Decode reads the stored configuration.
	Decode func(json.RawMessage) (*fleetconfig.Config, error)
	Holder *fleetconfig.Holder
	// Direct reports whether this daemon reads the store on its own; the others
	// hear from those that do whether their configuration is the newest one.
	Direct func() bool
	// Fetch reads the configuration of the daemon at an address.
	Fetch func(ctx context.Context, address string) (Snapshot, error)
	// BootNow is the clock that counts suspensions.
	BootNow func() time.Time
	Logger  *log.Logger
	Scope   tally.Scope
}

// ConfigSync keeps the configuration: daemons that read the store on their own
// read it there, the others at a daemon that says that it has a newer one. Those
// that the store turns away are up to date as long as they reach the others.
type ConfigSync struct {
	opts ConfigOptions
	kick chan struct{}
	// newer is the address of a daemon with a newer configuration, or "".
	newer atomic.Value
	// failing says that the store did not answer the latest read.
	failing  atomic.Bool
	probedAt time.Time

	mu sync.Mutex
	// revision is the store's revision of value, the configuration of version.
	revision int64
	version  int64
	value    json.RawMessage
}

// NewConfigSync returns a ConfigSync.
func NewConfigSync(opts ConfigOptions) *ConfigSync {
	c := &ConfigSync{opts: opts, kick: make(chan struct{}, 1)}
	c.newer.Store("")
	return c
}

// Heard makes the configuration be read now, as the daemon at an address has a
// newer one.
func (c *ConfigSync) Heard(address string) {
	c.newer.Store(address)
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Failing reports whether the store did not answer this daemon's latest read.
func (c *ConfigSync) Failing() bool { return c.failing.Load() }

// Snapshot returns the configuration in effect, or false before the first.
func (c *ConfigSync) Snapshot() (Snapshot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	config, confirmedAt := c.opts.Holder.Current()
	if config == nil || config.Version != c.version {
		return Snapshot{}, false
	}
	return Snapshot{Revision: c.revision, Value: c.value, ConfirmedAt: confirmedAt}, true
}

// Run reads until ctx ends.
func (c *ConfigSync) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := c.step(ctx)
		wait += time.Duration(jitter * rand.Float64() * float64(wait))
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.kick:
		}
		timer.Stop()
	}
	return nil
}

// step brings the configuration up to date and returns the time until the next
// step.
func (c *ConfigSync) step(ctx context.Context) time.Duration {
	address, _ := c.newer.Swap("").(string)
	if address != "" && c.fetch(ctx, address) == nil {
		return lookEvery
	}
	if address == "" && !c.opts.Direct() && c.fresh() && !c.mustProbe() {
		return lookEvery
	}
	c.probedAt = c.opts.BootNow()
	err := c.read(ctx)
	if err == nil {
		if c.failing.Swap(false) {
			c.opts.Logger.Info("configuration can be read again")
		}
		return readEvery
	}
	c.opts.Scope.Counter("config_read_failed").Inc(1)
	if ctx.Err() == nil && !c.failing.Swap(true) {
		c.opts.Logger.Warn("configuration could not be read", "error", err)
	}
	return retryEvery
}

// mustProbe reports whether it is time to look whether the store answers again.
func (c *ConfigSync) mustProbe() bool {
	return c.failing.Load() && c.opts.BootNow().Sub(c.probedAt) >= probeEvery
}

// fresh reports whether the configuration was lately confirmed.
func (c *ConfigSync) fresh() bool {
	config, confirmedAt := c.opts.Holder.Current()
	return config != nil && c.opts.BootNow().Sub(confirmedAt) < staleAfter
}

// fetch takes over the configuration of another daemon.
func (c *ConfigSync) fetch(ctx context.Context, address string) error {
	snapshot, err := c.opts.Fetch(ctx, address)
	if err == nil {
		err = c.take(snapshot, "daemon at "+address)
	}
	if err != nil && ctx.Err() == nil {
		c.opts.Scope.Counter("config_fetch_failed").Inc(1)
		c.opts.Logger.Warn("configuration could not be read from another daemon", "from", address, "error", err)
	}
	return errors.Trace(err)
}

// read takes over the configuration that is stored.
func (c *ConfigSync) read(ctx context.Context) error {
	sentAt := c.opts.BootNow()
	object, err := c.opts.Store.Get(ctx, c.opts.Kind, c.opts.Name)
	if err != nil {
		return errors.Trace(err)
	}
	return c.take(Snapshot{Revision: object.Version, Value: object.Value, ConfirmedAt: sentAt}, "store")
}

// take takes over a configuration that is not older than the one held.
func (c *ConfigSync) take(s Snapshot, from string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case s.Revision < c.revision:
		return errors.Errorf("%s has revision %d after %d", from, s.Revision, c.revision)
	case s.Revision == c.revision:
		c.opts.Holder.Confirm(c.version, s.ConfirmedAt)
		return nil
	}
	config, err := c.opts.Decode(s.Value)
	if err != nil {
		// The configuration held is not confirmed, as it is not the newest one.
		return errors.Annotatef(err, "revision %d", s.Revision)
	}
	c.revision, c.version, c.value = s.Revision, config.Version, s.Value
	if c.opts.Holder.Apply(config, s.ConfirmedAt) {
		c.opts.Logger.Info("applied configuration", "version", config.Version, "revision", s.Revision,
			"routes", len(config.Routes), "workspaces", len(config.Workspaces), "from", from)
	}
	return nil
}
