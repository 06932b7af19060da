package configsync

import (
	"rattantide/internal/api"
	"rattantide/internal/objectclient"
)

// Replace applies a complete list of the objects of the given kinds at a revision
// and returns the number of changed objects. A stored object of these kinds that is
// missing from the list, and is not newer than the revision, becomes a tombstone at
// that revision. A list older than the revision up to which the Cache is complete
// deletes nothing, and only its objects above that revision are applied.
func (c *Cache) Replace(kinds []api.Kind, revision objectclient.Revision, objects []objectclient.Object) int {
	replaced := map[api.Kind]bool{}
	for _, kind := range kinds {
		replaced[kind] = true
	}
	present := map[objectKey]bool{}
	for _, o := range objects {
		// A tombstone does not count as present: the stored object may be newer than
		// the tombstone and then needs one at the list's revision.
		present[objectKey{kind: api.Kind(o.Kind), name: o.Name}] = o.Value != nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.completeRevision {
		return c.apply(objects, c.completeRevision)
	}
	all := append([]objectclient.Object(nil), objects...)
	for key, current := range c.objects {
		if replaced[key.kind] && !present[key] && current.Value != nil && current.Version <= revision {
			all = append(all, objectclient.Object{Kind: string(key.kind), Name: key.name, Version: revision})
		}
	}
	return c.apply(all, 0)
}
