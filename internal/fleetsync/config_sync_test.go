package fleetsync

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/fleetconfig"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
)

// configured is a ConfigSync with a store of its own and a simulated clock.
type configured struct {
	*ConfigSync
	store  *objecttest.Store
	holder *fleetconfig.Holder
	now    time.Time
	direct bool
}

func decodeVersion(value json.RawMessage) (*fleetconfig.Config, error) {
	c := &fleetconfig.Config{}
	err := json.Unmarshal(value, &c.Version)
	return c, err
}

func newConfigured() *configured {
	c := &configured{store: objecttest.New(), holder: fleetconfig.NewHolder(), now: time.Unix(1000, 0)}
	clock := func() time.Time { return c.now }
	client := &ConfigClient{HTTP: http.DefaultClient, MaxBytes: 1 << 10, BootNow: clock}
	c.ConfigSync = NewConfigSync(ConfigOptions{
		Store: c.store, Kind: "config", Name: "main", Decode: decodeVersion, Holder: c.holder,
		Direct: func() bool { return c.direct }, Fetch: client.Fetch, BootNow: clock,
		Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	return c
}

func (c *configured) put(t *testing.T, value string) {
	_, err := c.store.Put(t.Context(), "config", "main", objectclient.AnyVersion, json.RawMessage(value))
	assert.NilError(t, err)
}

// serve lets other daemons read the configuration.
func (c *configured) serve(t *testing.T) string {
	s := httptest.NewServer(&ConfigHandler{Source: c.Snapshot, BootNow: func() time.Time { return c.now }})
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func (c *configured) version() int64 {
	config, _ := c.holder.Current()
	if config == nil {
		return 0
	}
	return config.Version
}

// Guards against a daemon that stays behind while the store turns it away, or takes
// what another daemon has for fresher than it is.
func TestConfigurationComesFromAnotherDaemon(t *testing.T) {
	source, target := newConfigured(), newConfigured()
	source.direct = true
	source.put(t, "7")
	source.step(t.Context())
	source.now = source.now.Add(1300 * time.Millisecond)
	target.store.SetOutage(true)
	address := source.serve(t)
	target.Heard(address)
	target.step(t.Context())
	assert.Equal(t, target.version(), int64(7))
	_, confirmedAt := target.holder.Current()
	assert.Equal(t, target.now.Sub(confirmedAt), 1300*time.Millisecond)

	// A daemon that has its configuration from another one passes it on.
	third := newConfigured()
	third.store.SetOutage(true)
	third.Heard(target.serve(t))
	third.step(t.Context())
	assert.Equal(t, third.version(), int64(7))
}

// Guards against a configuration that goes back, because a daemon that stayed behind
// answered or because a stale read of the store did.
func TestOlderConfigurationIsRefused(t *testing.T) {
	old, target := newConfigured(), newConfigured()
	old.direct, target.direct = true, true
	old.put(t, "1")
	old.step(t.Context())
	target.put(t, "1")
	target.put(t, "2")
	target.step(t.Context())
	target.store.SetOutage(true)
	_, before := target.holder.Current()
	target.now = target.now.Add(time.Second)
	target.Heard(old.serve(t))
	target.step(t.Context())
	assert.Equal(t, target.version(), int64(2))
	_, after := target.holder.Current()
	assert.Equal(t, after, before, "the newest configuration was confirmed by an older one")
}

// Guards against a daemon that gives up when the one that has a newer configuration
// does not answer, has none or sends too much.
func TestStoreIsReadAfterAFailedFetch(t *testing.T) {
	empty := newConfigured()
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(revisionHeader, "9")
		w.Header().Set(ageHeader, "0")
		_, _ = w.Write(make([]byte, 2<<10))
	}))
	t.Cleanup(large.Close)
	for _, address := range []string{empty.serve(t), large.Listener.Addr().String(), "127.0.0.1:1"} {
		target := newConfigured()
		target.put(t, "3")
		target.Heard(address)
		target.step(t.Context())
		assert.Equal(t, target.version(), int64(3), address)
	}
}

// Guards against a daemon that never notices that the store answers it again, because
// it hears from others, and is left out as a reader of the store for good.
func TestProbesTheStoreThatTurnedItAway(t *testing.T) {
	c := newConfigured()
	c.put(t, "1")
	c.store.SetOutage(true)
	c.step(t.Context())
	assert.Assert(t, c.Failing())
	config := &fleetconfig.Config{Version: 1}
	c.holder.Apply(config, c.now)
	c.store.SetOutage(false)
	c.step(t.Context())
	assert.Assert(t, c.Failing(), "one that hears from others leaves the store alone for a while")
	c.now = c.now.Add(probeEvery)
	c.holder.Confirm(1, c.now)
	c.step(t.Context())
	assert.Assert(t, !c.Failing())
}
