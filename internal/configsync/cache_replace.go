package configsync

import (
	"rattantide/internal/api"
	"rattantide/internal/objectclient"
)

// Replace takes over everything that exists of the given kinds at a revision
// and returns how many objects changed. A held object of these kinds that is
// missing, and is not newer than the revision, becomes a tombstone at it.
func (c *Cache) Replace(kinds []api.Kind, revision int64, objects []objectclient.Object) int {
	replaced := map[api.Kind]bool{}
	for _, kind := range kinds {
		replaced[kind] = true
	}
	present := map[objectKey]bool{}
	for _, o := range objects {
		present[objectKey{kind: api.Kind(o.Kind), name: o.Name}] = true
	}
	all := append([]objectclient.Object(nil), objects...)
	c.mu.Lock()
	for key, held := range c.objects {
		if replaced[key.kind] && !present[key] && held.Value != nil && held.Version <= revision {
			// A tombstone at the object's own version would not be applied, so
			// an object whose write is the list's revision stays; it cannot be
			// missing from a correct list.
			all = append(all, objectclient.Object{Kind: string(key.kind), Name: key.name, Version: revision})
		}
	}
	c.mu.Unlock()
	return c.Apply(all...)
}
