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
	// readInterval is the time between reads of the configuration. It allows
	// several reads within the time in which a change must be in effect.
	readInterval = 700 * time.Millisecond
	// standbyAge is the age of the latest confirmation from which the second reader reads
	// the store, and standbyStep the difference to the age of the next one. The age
	// exceeds that at which the first reader's confirmations usually arrive.
	standbyAge  = 1350 * time.Millisecond
	standbyStep = 300 * time.Millisecond
	// maxConfirmationAge is the same age for a daemon that is not a reader.
	maxConfirmationAge = 1900 * time.Millisecond
	// ageCheckInterval is how often such a daemon checks that age.
	ageCheckInterval = 200 * time.Millisecond
	// retryInterval is the time to the next attempt after a failed read.
	retryInterval = 300 * time.Millisecond
	// probeInterval is how often a daemon that relies on other daemons after a
	// failed read checks whether the store is available to it again.
	probeInterval = 2 * time.Second
	// jitterFraction is the largest random extension of an interval, as a fraction
	// of it, so that the daemons do not read at the same time.
	jitterFraction = 0.2
)

const (
	// errOlderConfig means that a configuration is older than the current one.
	errOlderConfig = errors.ConstError("older than the current configuration")
	// errNewerElsewhere means that a read was ended as another daemon has a newer
	// configuration.
	errNewerElsewhere = errors.ConstError("another daemon has a newer configuration")
)

// ConfigOptions configures a ConfigSync. All fields are required.
type ConfigOptions struct {
	Store objectclient.Store
	// Kind and Name identify the configuration in the store.
	Kind string
	Name string
	// Decode decodes the stored configuration.
	Decode func(json.RawMessage) (*fleetconfig.Config, error)
	Holder *fleetconfig.Holder
	// ReaderRank returns this daemon's position among the readers, or NotReader. The
	// first reader reads the store regularly, and the other daemons rely on its reports.
	// The next readers take over in turn when no confirmations arrive.
	ReaderRank func() int
	// Fetch returns the configuration of the daemon at an address.
	Fetch func(ctx context.Context, address string) (Snapshot, error)
	// BootNow is the boot clock, which also advances while the machine is
	// suspended.
	BootNow func() time.Time
	Logger  *log.Logger
	Scope   tally.Scope
}

// ConfigSync keeps a daemon's configuration up to date. Some daemons read it from
// the store; the others fetch it from a daemon that reports a newer one. A daemon
// whose reads of the store fail stays up to date as long as it can reach other
// daemons. It is safe for concurrent use.
type ConfigSync struct {
	opts ConfigOptions
	wake chan struct{}
	// newerSource is the address of a daemon with a newer configuration, or "".
	newerSource atomic.Value
	status      readStatus
	// probedAt is when the store was last read, and absentAt when it last had no
	// configuration. Both belong to the goroutine of Run.
	probedAt time.Time
	absentAt time.Time

	mu sync.Mutex
	// revision is the highest store revision at which value was read, and version the
	// version of the configuration that value encodes.
	revision objectclient.Revision
	version  int64
	// olderRevision is the revision of an older configuration that was read last.
	olderRevision objectclient.Revision
	value         json.RawMessage
}

// NewConfigSync returns a ConfigSync that does nothing until Run.
func NewConfigSync(opts ConfigOptions) *ConfigSync {
	c := &ConfigSync{opts: opts, wake: make(chan struct{}, 1), status: readStatus{part: "the configuration", logger: opts.Logger}}
	c.newerSource.Store("")
	return c
}

// RefreshFrom triggers an immediate fetch from the daemon at an address, which has a
// newer configuration. It does not wait for the fetch.
func (c *ConfigSync) RefreshFrom(address string) {
	c.newerSource.Store(address)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// IsStoreFailing reports whether this daemon's latest read of the store failed.
func (c *ConfigSync) IsStoreFailing() bool { return c.status.failing.Load() }

// Snapshot returns the configuration in effect, or false if there is none yet or if the
// stored form of the one in effect is not known.
func (c *ConfigSync) Snapshot() (Snapshot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	config, confirmedAt := c.opts.Holder.Current()
	if config == nil || config.Version != c.version {
		return Snapshot{}, false
	}
	return Snapshot{Revision: c.revision, Value: c.value, ConfirmedAt: confirmedAt}, true
}

// Run keeps the configuration up to date until ctx ends. It returns nil.
func (c *ConfigSync) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := c.step(ctx)
		wait += time.Duration(jitterFraction * rand.Float64() * float64(wait))
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.wake:
		}
		timer.Stop()
	}
	return nil
}

// step fetches or reads the configuration if necessary and returns the time until
// the next step.
func (c *ConfigSync) step(ctx context.Context) time.Duration {
	// A source that was named before this step must not end its read.
	select {
	case <-c.wake:
	default:
	}
	address, _ := c.newerSource.Swap("").(string)
	if address != "" && c.fetchFromPeer(ctx, address) == nil {
		return ageCheckInterval
	}
	if address == "" && c.isFresh() && !c.isProbeDue() {
		return ageCheckInterval
	}
	c.probedAt = c.opts.BootNow()
	err := c.readStoreUntilWoken(ctx)
	if errors.Is(err, errNewerElsewhere) {
		return 0
	}
	isAbsent, isOlder := errors.Is(err, objectclient.ErrNotFound), errors.Is(err, errOlderConfig)
	if err != nil && !isAbsent && !isOlder {
		c.opts.Scope.Counter("config_read_failed").Inc(1)
		c.status.recordFailure(ctx, err)
		return retryInterval
	}
	c.status.recordSuccess()
	if isOlder {
		return retryInterval
	}
	if !isAbsent {
		return readInterval
	}
	if c.absentAt.IsZero() {
		c.opts.Logger.Info("the store has no configuration yet")
	}
	c.absentAt = c.probedAt
	return retryInterval
}

// isProbeDue reports whether the store must be read to find out whether it is
// available again.
func (c *ConfigSync) isProbeDue() bool {
	return c.IsStoreFailing() && c.opts.BootNow().Sub(c.probedAt) >= probeInterval
}

// isFresh reports whether the configuration, or that there is none, was confirmed so
// recently that this daemon need not read the store.
func (c *ConfigSync) isFresh() bool {
	config, confirmedAt := c.opts.Holder.Current()
	if config == nil {
		confirmedAt = c.absentAt
	}
	return !confirmedAt.IsZero() && c.opts.BootNow().Sub(confirmedAt) < readAge(c.opts.ReaderRank())
}

// readAge returns the age of the latest confirmation from which a daemon with a
// position among the readers reads the store.
func readAge(rank int) time.Duration {
	switch rank {
	case NotReader:
		return maxConfirmationAge
	case 0:
		return 0
	}
	return min(standbyAge+time.Duration(rank-1)*standbyStep, maxConfirmationAge)
}

// fetchFromPeer fetches and applies the configuration of another daemon.
func (c *ConfigSync) fetchFromPeer(ctx context.Context, address string) error {
	snapshot, err := c.opts.Fetch(ctx, address)
	if err == nil {
		err = c.applySnapshot(snapshot, "daemon at "+address)
	}
	if err != nil && ctx.Err() == nil {
		c.opts.Scope.Counter("config_fetch_failed").Inc(1)
		c.opts.Logger.Warn("fetching the configuration from another daemon failed", "from", address, "error", err)
	}
	return errors.Trace(err)
}

// readStoreUntilWoken reads the store like readStore. It returns errNewerElsewhere at once if
// another daemon has a newer configuration meanwhile, as the store may not answer this one.
func (c *ConfigSync) readStoreUntilWoken(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- c.readStore(ctx) }()
	select {
	case err := <-done:
		return err
	case <-c.wake:
		cancel()
		if err := <-done; err == nil {
			return nil
		}
		return errors.Trace(errNewerElsewhere)
	}
}

// readStore reads and applies the configuration in the store.
func (c *ConfigSync) readStore(ctx context.Context) error {
	sentAt := c.opts.BootNow()
	object, err := c.opts.Store.Get(ctx, c.opts.Kind, c.opts.Name)
	if err != nil {
		return errors.Trace(err)
	}
	return c.applySnapshot(Snapshot{Revision: object.Version, Value: object.Value, ConfirmedAt: sentAt}, "store")
}

// applySnapshot applies a configuration, or confirms the current one if the version is the
// same. Versions, which operators assign, order configurations; revisions do not, as a store
// that was restored returns older ones at higher revisions until operators write them again.
// It returns errOlderConfig for an older version: the current one is never replaced by it,
// and not confirmed either, since a newer one that was lost may have removed keys. source
// names the origin in log lines and errors.
func (c *ConfigSync) applySnapshot(s Snapshot, source string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s.Revision {
	case c.revision:
		c.opts.Holder.Confirm(c.version, s.ConfirmedAt)
		return nil
	case c.olderRevision:
		return errors.Trace(errOlderConfig)
	}
	config, err := c.opts.Decode(s.Value)
	if err != nil {
		// The current configuration is not confirmed, as a newer one may exist.
		return errors.Annotatef(err, "decode configuration at revision %d of era %d", s.Revision.Number(), s.Revision.Era())
	}
	switch {
	case config.Version < c.version:
		c.olderRevision = s.Revision
		c.opts.Logger.Warn("an older configuration was ignored; the current one is not confirmed", "version", config.Version,
			"current", c.version, "revision", s.Revision.Number(), "era", s.Revision.Era(), "from", source)
		return errors.Annotatef(errOlderConfig, "version %d of %s, current %d", config.Version, source, c.version)
	case config.Version == c.version:
		c.revision = max(c.revision, s.Revision)
		c.opts.Holder.Confirm(c.version, s.ConfirmedAt)
		return nil
	}
	c.revision, c.version, c.value = s.Revision, config.Version, s.Value
	if c.opts.Holder.Apply(config, s.ConfirmedAt) {
		c.opts.Logger.Info("applied configuration", "version", config.Version, "revision", s.Revision.Number(), "era", s.Revision.Era(),
			"routes", len(config.Routes), "workspaces", len(config.Workspaces), "from", source)
	}
	return nil
}
