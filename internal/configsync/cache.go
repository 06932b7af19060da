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

// Cache stores the configuration in effect. It is safe for concurrent use.
type Cache struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// objects holds the newest known state of each object. An object without a value
	// is a tombstone, which prevents an older put from restoring a deleted object.
	objects map[objectKey]objectclient.Object
	// completeRevision is the revision up to which all changes have been applied. An
	// object version up to it that is not stored has since been replaced or deleted.
	completeRevision objectclient.Revision
	// highestVersion is the highest object version in objects.
	highestVersion objectclient.Revision
	// tombstones is the number of tombstones in objects. highestDropped is the
	// highest version of a tombstone that has been dropped.
	tombstones     int
	highestDropped objectclient.Revision
	changed        chan struct{}
}

// maxTombstones bounds the number of stored tombstones, at about 200 bytes each.
const maxTombstones = 10_000

// NewCache returns an empty Cache.
func NewCache() *Cache {
	c := &Cache{objects: map[objectKey]objectclient.Object{}, changed: make(chan struct{})}
	c.view.Store(buildView(nil))
	return c
}

// Snapshot returns the current view.
func (c *Cache) Snapshot() *View { return c.view.Load() }

// Apply stores the objects whose version is higher than the stored one and returns
// their number. Objects of unknown kinds, and versions that the Cache already
// covers completely, are ignored. An object without a value is a deletion at its
// version.
func (c *Cache) Apply(objects ...objectclient.Object) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.apply(objects, c.completeRevision)
}

// apply implements Apply, with floor as the revision up to which versions are ignored.
// c.mu must be held.
func (c *Cache) apply(objects []objectclient.Object, floor objectclient.Revision) int {
	applied := 0
	for _, o := range objects {
		key := objectKey{kind: api.Kind(o.Kind), name: o.Name}
		if !key.kind.IsKnown() {
			continue
		}
		current, ok := c.objects[key]
		if ok && current.Version >= o.Version || o.Version <= floor {
			continue
		}
		c.tombstones += tombstoneCount(o) - tombstoneCount(current)
		c.objects[key] = o
		c.highestVersion = max(c.highestVersion, o.Version)
		applied++
	}
	if applied > 0 {
		c.pruneTombstones()
		c.view.Store(buildView(c.objects))
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return applied
}

// Changed returns a channel that is closed at the next change. To miss no change,
// obtain the channel before calling Snapshot.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since returns all objects and tombstones with a version above revision.
func (c *Cache) Since(revision objectclient.Revision) []objectclient.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision >= c.highestVersion {
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

// setComplete records that all changes up to a revision have been applied.
func (c *Cache) setComplete(revision objectclient.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completeRevision = max(c.completeRevision, revision)
}

// deletionFloor returns the revision above which no tombstone has been dropped.
func (c *Cache) deletionFloor() objectclient.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highestDropped
}

// pruneTombstones drops the oldest half of the tombstones if there are more than
// maxTombstones. Only tombstones up to completeRevision may be dropped, as an older
// put is then still recognized as outdated. c.mu must be held.
func (c *Cache) pruneTombstones() {
	if c.tombstones <= maxTombstones {
		return
	}
	var droppable []objectclient.Object
	for _, o := range c.objects {
		if o.Value == nil && o.Version <= c.completeRevision {
			droppable = append(droppable, o)
		}
	}
	slices.SortFunc(droppable, func(a, b objectclient.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, o := range droppable[:len(droppable)/2] {
		delete(c.objects, objectKey{kind: api.Kind(o.Kind), name: o.Name})
		c.tombstones--
		c.highestDropped = max(c.highestDropped, o.Version)
	}
}

// tombstoneCount returns 1 if o is a tombstone, else 0.
func tombstoneCount(o objectclient.Object) int {
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
			v.addObject(key, o)
		}
	}
	return v
}

// addObject adds an object to the view. An object that cannot be decoded is skipped:
// it may have been written for a newer version of the daemon, and the rest of the
// configuration must remain in effect.
func (v *View) addObject(key objectKey, o objectclient.Object) {
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
