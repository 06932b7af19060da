package fleetsync

import (
	"context"
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

// testConfigSync is a ConfigSync with a separate store and a simulated clock.
type testConfigSync struct {
	*ConfigSync
	store      *objecttest.Store
	holder     *fleetconfig.Holder
	now        time.Time
	readerRank int
}

func decodeVersion(value json.RawMessage) (*fleetconfig.Config, error) {
	c := &fleetconfig.Config{}
	err := json.Unmarshal(value, &c.Version)
	return c, err
}

func newTestConfigSync() *testConfigSync {
	c := &testConfigSync{store: objecttest.New(), holder: fleetconfig.NewHolder(), now: time.Unix(1000, 0), readerRank: NotReader}
	clock := func() time.Time { return c.now }
	client := &ConfigClient{HTTP: http.DefaultClient, MaxBytes: 1 << 10, BootNow: clock}
	c.ConfigSync = NewConfigSync(ConfigOptions{
		Store: c.store, Kind: "config", Name: "main", Decode: decodeVersion, Holder: c.holder,
		ReaderRank: func() int { return c.readerRank }, Fetch: client.Fetch, BootNow: clock,
		Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	return c
}

func (c *testConfigSync) put(t *testing.T, value string) {
	_, err := c.store.Put(t.Context(), "config", "main", objectclient.AnyVersion, json.RawMessage(value))
	assert.NilError(t, err)
}

// serve starts a server for the configuration and returns its address.
func (c *testConfigSync) serve(t *testing.T) string {
	s := httptest.NewServer(&ConfigHandler{Source: c.Snapshot, BootNow: func() time.Time { return c.now }})
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func (c *testConfigSync) version() int64 {
	config, _ := c.holder.Current()
	if config == nil {
		return 0
	}
	return config.Version
}

// Guards against a daemon whose configuration remains outdated while the store is
// unavailable to it, and against a confirmation time that is later than that of
// the daemon from which the configuration was fetched.
func TestConfigurationIsFetchedFromAnotherDaemon(t *testing.T) {
	source, target := newTestConfigSync(), newTestConfigSync()
	source.readerRank = 0
	source.put(t, "7")
	source.step(t.Context())
	source.now = source.now.Add(1300 * time.Millisecond)
	target.store.SetOutage(true)
	address := source.serve(t)
	target.RefreshFrom(address)
	target.step(t.Context())
	assert.Equal(t, target.version(), int64(7))
	_, confirmedAt := target.holder.Current()
	assert.Equal(t, target.now.Sub(confirmedAt), 1300*time.Millisecond)

	// A daemon that fetched its configuration from another one serves it as well.
	third := newTestConfigSync()
	third.store.SetOutage(true)
	third.RefreshFrom(target.serve(t))
	third.step(t.Context())
	assert.Equal(t, third.version(), int64(7))
}

// Guards against a configuration that is replaced by an older one, from a daemon
// that is not up to date or from a stale read of the store.
func TestOlderConfigurationIsRefused(t *testing.T) {
	old, target := newTestConfigSync(), newTestConfigSync()
	old.readerRank, target.readerRank = 0, 0
	old.put(t, "1")
	old.step(t.Context())
	target.put(t, "1")
	target.put(t, "2")
	target.step(t.Context())
	target.store.SetOutage(true)
	_, before := target.holder.Current()
	target.now = target.now.Add(time.Second)
	target.RefreshFrom(old.serve(t))
	target.step(t.Context())
	assert.Equal(t, target.version(), int64(2))
	_, after := target.holder.Current()
	assert.Equal(t, after, before, "the newest configuration was confirmed by an older one")
}

// Guards against a daemon that does not read the store after a fetch failed: the
// other daemon has no configuration, sends one that is too large, or is
// unreachable.
func TestStoreIsReadAfterAFailedFetch(t *testing.T) {
	empty := newTestConfigSync()
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(revisionHeader, "9")
		w.Header().Set(ageHeader, "0")
		_, _ = w.Write(make([]byte, 2<<10))
	}))
	t.Cleanup(large.Close)
	for _, address := range []string{empty.serve(t), large.Listener.Addr().String(), "127.0.0.1:1"} {
		target := newTestConfigSync()
		target.put(t, "3")
		target.RefreshFrom(address)
		target.step(t.Context())
		assert.Equal(t, target.version(), int64(3), address)
	}
}

// Guards against a daemon that never detects that the store is available to it
// again, because other daemons confirm its configuration. It would be excluded as
// a reader of the store forever.
func TestProbesStoreAfterFailedRead(t *testing.T) {
	c := newTestConfigSync()
	c.put(t, "1")
	c.store.SetOutage(true)
	c.step(t.Context())
	assert.Assert(t, c.IsStoreFailing())
	config := &fleetconfig.Config{Version: 1}
	c.holder.Apply(config, c.now)
	c.store.SetOutage(false)
	c.step(t.Context())
	assert.Assert(t, c.IsStoreFailing(), "a daemon whose configuration is confirmed must not probe the store before probeInterval")
	c.now = c.now.Add(probeInterval)
	c.holder.Confirm(1, c.now)
	c.step(t.Context())
	assert.Assert(t, !c.IsStoreFailing())
}

// Guards against a fleet that reads the store at short intervals on all daemons until an
// operator has written the first configuration.
func TestAbsentConfigurationIsReadByTheFirstReaderOnly(t *testing.T) {
	for rank, want := range map[int]int{0: 20, 1: 4, NotReader: 4} {
		c := newTestConfigSync()
		c.readerRank = rank
		reads := 0
		for until := c.now.Add(6 * time.Second); c.now.Before(until); {
			before := c.probedAt
			c.now = c.now.Add(c.step(t.Context()))
			if c.probedAt != before {
				reads++
			}
		}
		assert.Assert(t, !c.IsStoreFailing(), "the store answers")
		assert.Equal(t, reads, want, "rank %d", rank)
	}
}

// hangingStore is a store that does not answer reads.
type hangingStore struct {
	*objecttest.Store
	// reading is closed at the first read.
	reading chan struct{}
}

func (s hangingStore) Get(ctx context.Context, _, _ string) (*objectclient.Object, error) {
	close(s.reading)
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a daemon that fetches a newer configuration from another daemon only after
// its own read of a store that does not answer has timed out.
func TestFetchDoesNotWaitForTheStore(t *testing.T) {
	source, target := newTestConfigSync(), newTestConfigSync()
	source.readerRank, target.readerRank = 0, 0
	source.put(t, "7")
	source.step(t.Context())
	store := hangingStore{target.store, make(chan struct{})}
	target.opts.Store = store
	address := source.serve(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() {
		<-store.reading
		target.RefreshFrom(address)
	}()
	assert.Equal(t, target.step(ctx), time.Duration(0))
	target.step(ctx)
	assert.NilError(t, ctx.Err())
	assert.Equal(t, target.version(), int64(7))
}
