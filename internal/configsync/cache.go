package configsync

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"rattantide/internal/api"
	"rattantide/internal/objectclient"
)

type objectKey struct {
	kind api.Kind
	name string
}

// Cache holds the configuration in effect. All methods are safe for concurrent
// use.
type Cache struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// objects holds the newest known state of each object; one without a value
	// is a tombstone, kept so that an older put cannot bring the object back.
	objects map[objectKey]objectclient.Object
	// complete is the revision up to which every change is applied. A version
	// at or below it that is not held was replaced or deleted since.
	complete int64
	// highest is the highest version that is held.
	highest int64
	// tombstones counts the deletions that are held, and forgotten is the
	// highest version of one that was dropped.
	tombstones int
	forgotten  int64
	changed    chan struct{}
}

// maxTombstones bounds the deletions that are held, at some 200 bytes each.
const maxTombstones = 10_000

// NewCache returns an empty Cache.
func NewCache() *Cache {
	c := &Cache{objects: map[objectKey]objectclient.Object{}, changed: make(chan struct{})}
	c.view.Store(buildView(nil))
	return c
}

// Snapshot returns the current view.
func (c *Cache) Snapshot() *View { return c.view.Load() }

// Apply takes over objects whose version is higher than the one held and
// returns how many were. An object without a value is a deletion at its version.
func (c *Cache) Apply(objects ...objectclient.Object) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.apply(objects, c.complete)
}

// apply takes over objects above a revision. The lock is held.
func (c *Cache) apply(objects []objectclient.Object, above int64) int {
	applied := 0
	for _, o := range objects {
		key := objectKey{kind: api.Kind(o.Kind), name: o.Name}
		if !key.kind.Known() {
			continue
		}
		held, ok := c.objects[key]
		if ok && held.Version >= o.Version || o.Version <= above {
			continue
		}
		c.tombstones += tombstone(o) - tombstone(held)
		c.objects[key] = o
		c.highest = max(c.highest, o.Version)
		applied++
	}
	if applied > 0 {
		c.forget()
		c.view.Store(buildView(c.objects))
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return applied
}

// Changed returns a channel that is closed at the next change. Take it before
// Snapshot, so that no change is missed in between.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since returns all objects and tombstones with a version above revision.
func (c *Cache) Since(revision int64) []objectclient.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision >= c.highest {
		return nil
	}
	var out []objectclient.Object
	for _, o := range c.objects {
		if o.Version > revision {
			out = append(out, o)
		}
	}
	return out
}

// completeTo notes that every change up to a revision is applied.
func (c *Cache) completeTo(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete = max(c.complete, revision)
}

// knownFrom returns the revision from which on no deletion was forgotten.
func (c *Cache) knownFrom() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forgotten
}

// forget drops the oldest half of the tombstones when there are too many. Only
// those that complete covers may go, as an older put is then still recognised.
// The lock is held.
func (c *Cache) forget() {
	if c.tombstones <= maxTombstones {
		return
	}
	var old []objectclient.Object
	for _, o := range c.objects {
		if o.Value == nil && o.Version <= c.complete {
			old = append(old, o)
		}
	}
	slices.SortFunc(old, func(a, b objectclient.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, o := range old[:len(old)/2] {
		delete(c.objects, objectKey{kind: api.Kind(o.Kind), name: o.Name})
		c.tombstones--
		c.forgotten = max(c.forgotten, o.Version)
	}
}

// tombstone returns 1 for a deletion that is held, else 0.
func tombstone(o objectclient.Object) int {
	if o.Version > 0 && o.Value == nil {
		return 1
	}
	return 0
}

func buildView(objects map[objectKey]objectclient.Object) *View {
	v := &View{
		Objects:    map[api.Kind]map[string]objectclient.Object{},
		Classes:    map[string]*api.Class{},
		Workspaces: map[string]*api.Workspace{},
		Routes:     map[string]*api.Route{},
		Pools:      map[string]*api.Pool{},
		Versions:   map[string]*api.Version{},
		Moves:      map[string]*Move{},
		byModel:    map[string]string{},
		byPrefix:   map[string]string{},
		byToken:    map[string]string{},
	}
	for key, o := range objects {
		v.Revision = max(v.Revision, o.Version)
		if o.Value != nil {
			v.add(key, o)
		}
	}
	return v
}

// add skips an object that cannot be decoded: a newer daemon may have written
// it, and the rest of the configuration must stay in effect.
func (v *View) add(key objectKey, o objectclient.Object) {
	decoded, err := api.DecodeStored(key.kind, key.name, o.Version, o.Value)
	if err != nil {
		return
	}
	if v.Objects[key.kind] == nil {
		v.Objects[key.kind] = map[string]objectclient.Object{}
	}
	v.Objects[key.kind][key.name] = o
	switch spec := decoded.Typed.(type) {
	case *api.Class:
		v.Classes[key.name] = spec
	case *api.Workspace:
		v.Workspaces[key.name] = spec
		v.byToken[spec.TokenHash] = key.name
	case *api.Route:
		v.Routes[key.name] = spec
		if spec.Model != "" {
			v.byModel[spec.Model] = key.name
		} else {
			v.byPrefix[spec.Prefix] = key.name
		}
	case *api.Pool:
		v.Pools[key.name] = spec
	case *api.Version:
		v.Versions[key.name] = spec
	case *api.VersionMove:
		v.Moves[key.name] = &Move{Name: key.name, Version: o.Version, Spec: spec, Status: decoded.MoveStatus}
	}
}
