package configsync

import (
	"rattantide/internal/api"
	"rattantide/internal/objectclient"
)

// Replace takes over everything that exists of the given kinds at a revision
// and returns how many objects changed. A held object of these kinds that is
// missing, and is not newer than the revision, becomes a tombstone at it. A list
// that is older than what is known has no effect.
func (c *Cache) Replace(kinds []api.Kind, revision int64, objects []objectclient.Object) int {
	replaced := map[api.Kind]bool{}
	for _, kind := range kinds {
		replaced[kind] = true
	}
	present := map[objectKey]bool{}
	for _, o := range objects {
		// A tombstone may be older than a later life of the object that is held.
		present[objectKey{kind: api.Kind(o.Kind), name: o.Name}] = o.Value != nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.complete {
		return c.apply(objects, c.complete)
	}
	all := append([]objectclient.Object(nil), objects...)
	for key, held := range c.objects {
		if replaced[key.kind] && !present[key] && held.Value != nil && held.Version <= revision {
			all = append(all, objectclient.Object{Kind: string(key.kind), Name: key.name, Version: revision})
		}
	}
	return c.apply(all, 0)
}
