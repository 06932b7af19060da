package fleetsync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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
	// BootNow is the clock that counts suspensions.
	BootNow func() time.Time
	Logger  *log.Logger
	Scope   tally.Scope
}

// ConfigSync reads the configuration.
type ConfigSync struct {
	opts     ConfigOptions
	kick     chan struct{}
	revision int64
	// version is that of the configuration at revision.
	version int64
	failing bool
}

// NewConfigSync returns a ConfigSync.
func NewConfigSync(opts ConfigOptions) *ConfigSync {
	return &ConfigSync{opts: opts, kick: make(chan struct{}, 1)}
}

// Kick makes the next read happen now, because another daemon has a newer
// configuration.
func (c *ConfigSync) Kick() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run reads until ctx ends.
func (c *ConfigSync) Run(ctx context.Context) error {
	kicked := false
	for ctx.Err() == nil {
		wait := readEvery
		if !kicked && !c.opts.Direct() && c.fresh() {
			wait = lookEvery
		} else if err := c.read(ctx); err != nil {
			wait = retryEvery
			c.opts.Scope.Counter("config_read_failed").Inc(1)
			if !c.failing && ctx.Err() == nil {
				c.opts.Logger.Warn("configuration could not be read", "error", err)
			}
			c.failing = true
		} else if c.failing {
			c.failing = false
			c.opts.Logger.Info("configuration can be read again")
		}
		wait += time.Duration(jitter * rand.Float64() * float64(wait))
		timer := time.NewTimer(wait)
		kicked = false
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.kick:
			kicked = true
		}
		timer.Stop()
	}
	return nil
}

// fresh reports whether the configuration was lately confirmed.
func (c *ConfigSync) fresh() bool {
	config, confirmedAt := c.opts.Holder.Current()
	return config != nil && c.opts.BootNow().Sub(confirmedAt) < staleAfter
}

func (c *ConfigSync) read(ctx context.Context) error {
	sentAt := c.opts.BootNow()
	object, err := c.opts.Store.Get(ctx, c.opts.Kind, c.opts.Name)
	if err != nil {
		return errors.Trace(err)
	}
	if object.Version < c.revision {
		return errors.Errorf("store answered with revision %d after %d", object.Version, c.revision)
	}
	if object.Version == c.revision {
		c.opts.Holder.Confirm(c.version, sentAt)
		return nil
	}
	config, err := c.opts.Decode(object.Value)
	if err != nil {
		// The configuration held is not confirmed, as it is not the newest one.
		return errors.Annotatef(err, "revision %d", object.Version)
	}
	c.revision, c.version = object.Version, config.Version
	if c.opts.Holder.Apply(config, sentAt) {
		c.opts.Logger.Info("applied configuration", "version", config.Version, "revision", object.Version,
			"routes", len(config.Routes), "workspaces", len(config.Workspaces))
	}
	return nil
}
