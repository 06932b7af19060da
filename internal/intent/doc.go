// Package intent records non-idempotent calls before they are dispatched, so
// that each runs at most once. Records are stored in the object API and are
// committed in groups by conditional updates.
//
// The keys of calls are distributed over shards by their hash. The head of a shard
// is the object with its calls in progress and its latest finished calls. Older
// finished calls are sealed: they move to immutable segments, which are objects of
// their own that the head references. Any daemon can write any shard, but each
// shard has a preferred daemon, to which the other daemons forward their operations
// as long as it answers.
package intent
