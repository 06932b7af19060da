package configsync

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/api"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
)

const poolValue = `{"spec":{"type":"chat","version":"v1"}}`

// Guards against a daemon that misses a change or a deletion, and against every
// daemon watching the object API.
func TestChangesAndDeletionsReachAllDaemons(t *testing.T) {
	c := newCluster(t)
	c.put("Pool", "before", poolValue)
	c.start(5)
	for _, n := range c.nodes {
		c.await(n, "first configuration", func() bool { return n.cache.Snapshot().Pools["before"] != nil })
	}
	c.put("Pool", "after", poolValue)
	assert.NilError(t, c.store.Delete(t.Context(), "Pool", "before", objectclient.AnyVersion))
	for _, n := range c.nodes {
		c.await(n, "change and deletion", func() bool {
			view := n.cache.Snapshot()
			return view.Pools["before"] == nil && view.Pools["after"] != nil
		})
	}
	// A daemon that saw nobody yet may have watched for a moment.
	assert.Assert(t, c.store.Calls().Watches <= int64(len(c.nodes)))
}

// Guards against a notice or an announcement that stays with the relay that
// heard it.
func TestLeavingReachesAllDaemons(t *testing.T) {
	c := newCluster(t)
	var names []membership.Daemon
	for i := range 5 {
		names = append(names, membership.Daemon{Name: fmt.Sprintf("d%02d", i), Domain: fmt.Sprintf("z%d", i%3), Region: "r"})
	}
	hearing := rankRelays("r", names, 2)[0].Name
	for range 5 {
		c.listen(func(o *Options) {
			if o.Table.Self().Name != hearing {
				o.Cloud = ""
			}
		})
	}
	c.publish()
	for _, n := range c.nodes {
		n.run()
		c.await(n, "upstream known", func() bool { return len(n.table.Upstreams("p")) == 1 })
	}
	c.platform.notice(membership.Notice{Instance: "u1", DeadlineMs: 30_000, Kind: membership.NoticeReclaim})
	for _, n := range c.nodes {
		c.await(n, "notice", func() bool { return len(n.table.Upstreams("p")) == 0 })
	}

	leaving := c.nodes[4]
	assert.NilError(t, leaving.syncer.AnnounceLeaving(t.Context()))
	for _, n := range c.nodes[:4] {
		c.await(n, "announcement", func() bool { return len(n.table.Daemons()) == 3 })
	}
}

// Guards against a configuration that stops moving when the relays die.
func TestDaemonsSurviveLossOfBothRelays(t *testing.T) {
	c := newCluster(t)
	c.start(5)
	relays := map[string]bool{}
	for _, d := range rankRelays("r", append(c.nodes[0].table.Daemons(), c.nodes[0].self), 2) {
		relays[d.Name] = true
	}
	var rest []*node
	for _, n := range c.nodes {
		if relays[n.self.Name] {
			n.stop()
		} else {
			rest = append(rest, n)
		}
	}
	c.nodes = rest
	c.put("Pool", "after", poolValue)
	for _, n := range rest {
		c.await(n, "change after the loss", func() bool { return n.cache.Snapshot().Pools["after"] != nil })
	}
}

// Guards against daemons that wait for a relay whose connections stay open and
// never answer. The polls last longer than the test's patience, so only the
// other relay can bring the change.
func TestHungRelayDelaysNobody(t *testing.T) {
	c := newCluster(t)
	for range 5 {
		c.listen(func(o *Options) { o.Wait = 2 * patience })
	}
	c.publish()
	for _, n := range c.nodes {
		n.run()
		c.await(n, "membership", func() bool { return len(n.table.AllDaemons()) == 4 && len(n.table.Upstreams("p")) == 1 })
	}
	relay := rankRelays("r", append(c.nodes[0].table.Daemons(), c.nodes[0].self), 2)[0].Name
	for _, n := range c.nodes {
		if n.self.Name == relay {
			n.hung.Store(true)
		}
	}
	c.put("Pool", "after", poolValue)
	c.platform.notice(membership.Notice{Instance: "u1", DeadlineMs: 30_000, Kind: membership.NoticeReclaim})
	for _, n := range c.nodes {
		c.await(n, "change and notice", func() bool {
			return n.cache.Snapshot().Pools["after"] != nil && len(n.table.Upstreams("p")) == 0
		})
	}
}

// Guards against a start that needs the object API or the instance list.
func TestStartDuringOutage(t *testing.T) {
	c := newCluster(t)
	c.put("Pool", "p", poolValue)
	c.start(3)
	c.await(c.nodes[0], "first configuration", func() bool { return c.nodes[0].cache.Snapshot().Pools["p"] != nil })
	c.store.SetOutage(true)
	late := c.listen(func(o *Options) {
		o.InstanceList, o.Cloud = "", ""
		o.PeerAddresses = []string{c.nodes[0].self.Address}
	})
	late.run()
	c.await(late, "configuration from a peer", func() bool { return late.cache.Snapshot().Pools["p"] != nil })
	<-late.syncer.Ready()
	assert.Equal(t, len(late.table.Daemons()), 3)
}

// Guards against an object that comes back, or never goes, when its deletion
// was compacted away.
func TestCompactionBecomesTombstone(t *testing.T) {
	c := newCluster(t)
	c.put("Pool", "p", poolValue)
	c.start(2)
	for _, n := range c.nodes {
		c.await(n, "first configuration", func() bool { return n.cache.Snapshot().Pools["p"] != nil })
	}
	c.store.SetOutage(true)
	c.store.SetOutage(false)
	assert.NilError(t, c.store.Delete(t.Context(), "Pool", "p", objectclient.AnyVersion))
	c.store.Compact()
	for _, n := range c.nodes {
		c.await(n, "deletion", func() bool { return n.cache.Snapshot().Pools["p"] == nil })
	}
}

// Guards against an older version, or an older list, that undoes a newer one.
func TestCacheNeverReverts(t *testing.T) {
	cache := NewCache()
	put := func(name string, version int64) objectclient.Object {
		return objectclient.Object{Kind: "Pool", Name: name, Version: version, Value: []byte(poolValue)}
	}
	assert.Equal(t, cache.Apply(put("a", 5), put("b", 9)), 2)
	assert.Equal(t, cache.Apply(put("a", 4)), 0)
	assert.Equal(t, cache.Replace([]api.Kind{api.KindPool}, 7, nil), 1)
	view := cache.Snapshot()
	assert.Assert(t, view.Pools["a"] == nil && view.Pools["b"] != nil)
	assert.Equal(t, cache.Apply(put("a", 6)), 0)
	assert.Equal(t, cache.Apply(put("a", 8)), 1)
	// A list that was read before a deletion and arrives after it.
	cache.completeTo(20)
	assert.Equal(t, cache.Apply(put("deleted", 15)), 0)
	assert.Equal(t, cache.Apply(put("created", 21)), 1)
}

// Guards against tombstones that use up the memory, and against an object that
// comes back because its tombstone was dropped.
func TestTombstonesAreBounded(t *testing.T) {
	cache := NewCache()
	var deletions []objectclient.Object
	for i := range maxTombstones {
		deletions = append(deletions, objectclient.Object{Kind: "Pool", Name: fmt.Sprint("p", i), Version: int64(i + 1)})
	}
	assert.Equal(t, cache.Apply(deletions...), maxTombstones)
	cache.completeTo(maxTombstones)
	assert.Equal(t, cache.Apply(objectclient.Object{Kind: "Pool", Name: "last", Version: maxTombstones + 1}), 1)
	assert.Assert(t, len(cache.Since(0)) <= maxTombstones/2+1)
	assert.Equal(t, cache.knownFrom(), int64(maxTombstones/2))
	assert.Equal(t, cache.Apply(objectclient.Object{Kind: "Pool", Name: "p0", Version: 1, Value: []byte(poolValue)}), 0)
}

// Guards against a region that misses changes and leaving daemons while it
// cannot reach the object API and the platform.
func TestRegionWithoutObjectAPI(t *testing.T) {
	c := newCluster(t)
	c.put("Pool", "before", poolValue)
	down := objecttest.New()
	down.SetOutage(true)
	for range 3 {
		c.listen(nil)
		c.listenIn("cut", func(o *Options) { o.Store, o.Cloud = down, "" })
	}
	c.publish()
	for _, n := range c.nodes {
		n.run()
	}
	for _, n := range c.nodes {
		c.await(n, "first configuration", func() bool { return n.cache.Snapshot().Pools["before"] != nil })
	}
	c.put("Pool", "after", poolValue)
	for _, n := range c.nodes {
		c.await(n, "change", func() bool { return n.cache.Snapshot().Pools["after"] != nil })
	}
	assert.NilError(t, c.nodes[0].syncer.AnnounceLeaving(t.Context()))
	for _, n := range c.nodes[1:] {
		c.await(n, "announcement", func() bool { return len(n.table.Daemons()) == 4 })
	}
}
