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

// Guards against a daemon that misses a change or a deletion, and against daemons
// other than the relays that keep watching the object API.
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
	// A daemon acts as a relay, and may have opened a watch, until it knows other
	// daemons.
	assert.Assert(t, c.store.Calls().Watches <= int64(len(c.nodes)))
}

// Guards against a notice or an announcement that the receiving relay does not forward.
func TestLeavingReachesAllDaemons(t *testing.T) {
	c := newCluster(t)
	var daemons []membership.Daemon
	for i := range 5 {
		daemons = append(daemons, membership.Daemon{Name: fmt.Sprintf("d%02d", i), Domain: fmt.Sprintf("z%d", i%3), Region: "r"})
	}
	receiver := rankRelays("r", daemons, 2)[0].Name
	for range 5 {
		c.addNode(func(o *Options) {
			if o.Table.Self().Name != receiver {
				o.CloudAddress = ""
			}
		})
	}
	c.publish()
	for _, n := range c.nodes {
		n.run()
		c.await(n, "the upstream in its table", func() bool { return len(n.table.Upstreams("p")) == 1 })
	}
	c.platform.addNotice(membership.Notice{Instance: "u1", DeadlineMs: 30_000, Kind: membership.NoticeReclaim})
	for _, n := range c.nodes {
		c.await(n, "notice", func() bool { return len(n.table.Upstreams("p")) == 0 })
	}

	leaving := c.nodes[4]
	assert.NilError(t, leaving.syncer.AnnounceLeaving(t.Context()))
	for _, n := range c.nodes[:4] {
		c.await(n, "announcement", func() bool { return len(n.table.Daemons()) == 3 })
	}
}

// Guards against a configuration that is no longer updated after both relays stopped.
func TestDaemonsSurviveLossOfBothRelays(t *testing.T) {
	c := newCluster(t)
	c.start(5)
	relays := map[string]bool{}
	for _, d := range rankRelays("r", append(c.nodes[0].table.Daemons(), c.nodes[0].self), 2) {
		relays[d.Name] = true
	}
	var remaining []*testNode
	for _, n := range c.nodes {
		if relays[n.self.Name] {
			n.stop()
		} else {
			remaining = append(remaining, n)
		}
	}
	c.nodes = remaining
	c.put("Pool", "after", poolValue)
	for _, n := range remaining {
		c.await(n, "change after the loss", func() bool { return n.cache.Snapshot().Pools["after"] != nil })
	}
}

// Guards against daemons that are delayed by a relay that keeps its connections open
// but does not respond. The polls last longer than testTimeout, so that the change
// can only arrive through the other relay.
func TestHungRelayDelaysNoDaemon(t *testing.T) {
	c := newCluster(t)
	for range 5 {
		c.addNode(func(o *Options) { o.PollWait = 2 * testTimeout })
	}
	c.publish()
	for _, n := range c.nodes {
		n.run()
		c.await(n, "membership", func() bool { return len(n.table.AllDaemons()) == 4 && len(n.table.Upstreams("p")) == 1 })
	}
	relay := rankRelays("r", append(c.nodes[0].table.Daemons(), c.nodes[0].self), 2)[0].Name
	for _, n := range c.nodes {
		if n.self.Name == relay {
			n.isHung.Store(true)
		}
	}
	c.put("Pool", "after", poolValue)
	c.platform.addNotice(membership.Notice{Instance: "u1", DeadlineMs: 30_000, Kind: membership.NoticeReclaim})
	for _, n := range c.nodes {
		c.await(n, "change and notice", func() bool {
			return n.cache.Snapshot().Pools["after"] != nil && len(n.table.Upstreams("p")) == 0
		})
	}
}

// Guards against a start that fails without the object API and the instance list.
func TestStartDuringOutage(t *testing.T) {
	c := newCluster(t)
	c.put("Pool", "p", poolValue)
	c.start(3)
	c.await(c.nodes[0], "first configuration", func() bool { return c.nodes[0].cache.Snapshot().Pools["p"] != nil })
	c.store.SetOutage(true)
	joining := c.addNode(func(o *Options) {
		o.InstanceListAddress, o.CloudAddress = "", ""
		o.PeerAddresses = []string{c.nodes[0].self.Address}
	})
	joining.run()
	c.await(joining, "configuration from a peer", func() bool { return joining.cache.Snapshot().Pools["p"] != nil })
	<-joining.syncer.Ready()
	assert.Equal(t, len(joining.table.Daemons()), 3)
}

// Guards against a deleted object that is restored, or never removed, if the event of
// its deletion was lost by compaction.
func TestCompactionBecomesTombstone(t *testing.T) {
	c := newCluster(t)
	c.put("Pool", "p", poolValue)
	c.start(2)
	for _, n := range c.nodes {
		c.await(n, "first configuration", func() bool { return n.cache.Snapshot().Pools["p"] != nil })
	}
	// The start of the outage ends the watches, so that they miss the deletion.
	c.store.SetOutage(true)
	c.store.SetOutage(false)
	assert.NilError(t, c.store.Delete(t.Context(), "Pool", "p", objectclient.AnyVersion))
	c.store.Compact()
	for _, n := range c.nodes {
		c.await(n, "deletion", func() bool { return n.cache.Snapshot().Pools["p"] == nil })
	}
}

// Guards against an older version, or an older list, that replaces a newer one.
func TestCacheNeverReverts(t *testing.T) {
	cache := NewCache()
	put := func(name string, version objectclient.Revision) objectclient.Object {
		return objectclient.Object{Kind: "Pool", Name: name, Version: version, Value: []byte(poolValue)}
	}
	assert.Equal(t, cache.Apply(put("a", 5), put("b", 9)), 2)
	assert.Equal(t, cache.Apply(put("a", 4)), 0)
	assert.Equal(t, cache.Replace([]api.Kind{api.KindPool}, 7, nil), 1)
	view := cache.Snapshot()
	assert.Assert(t, view.Pools["a"] == nil && view.Pools["b"] != nil)
	assert.Equal(t, cache.Apply(put("a", 6)), 0)
	assert.Equal(t, cache.Apply(put("a", 8)), 1)
	// An object from a list that was read before its deletion and is applied after it.
	cache.setComplete(20)
	assert.Equal(t, cache.Apply(put("deleted", 15)), 0)
	assert.Equal(t, cache.Apply(put("created", 21)), 1)
}

// Guards against an unbounded number of tombstones, and against a deleted object that
// is restored because its tombstone was dropped.
func TestTombstonesAreBounded(t *testing.T) {
	cache := NewCache()
	var deletions []objectclient.Object
	for i := range maxTombstones {
		deletions = append(deletions, objectclient.Object{Kind: "Pool", Name: fmt.Sprint("p", i), Version: objectclient.Revision(i + 1)})
	}
	assert.Equal(t, cache.Apply(deletions...), maxTombstones)
	cache.setComplete(maxTombstones)
	assert.Equal(t, cache.Apply(objectclient.Object{Kind: "Pool", Name: "last", Version: maxTombstones + 1}), 1)
	assert.Assert(t, len(cache.Since(0)) <= maxTombstones/2+1)
	assert.Equal(t, cache.deletionFloor(), objectclient.Revision(maxTombstones/2))
	assert.Equal(t, cache.Apply(objectclient.Object{Kind: "Pool", Name: "p0", Version: 1, Value: []byte(poolValue)}), 0)
}

// Guards against a region that misses changes and announcements while its daemons
// cannot reach the object API and the cloud API.
func TestRegionWithoutObjectAPI(t *testing.T) {
	c := newCluster(t)
	c.put("Pool", "before", poolValue)
	unavailable := objecttest.New()
	unavailable.SetOutage(true)
	for range 3 {
		c.addNode(nil)
		c.addNodeIn("cut", func(o *Options) { o.Store, o.CloudAddress = unavailable, "" })
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
