// Package intent records non-idempotent calls before they are dispatched, so
// that each runs at most once. Records are stored in the object API and are
// committed in groups by conditional updates.
//
// The record of a call begins as an intent, which grants a single dispatch of the
// call to one daemon, and is completed by the outcome of that dispatch. A later call
// with the same key gets the recorded outcome instead of a dispatch, unless the
// outcome is that the call did not run.
//
// The keys of calls are distributed over shards by their hash. The head of a shard is
// the object that holds the shard's calls in progress and latest finished calls. Older
// finished calls are sealed: they move to immutable segments, which are objects of
// their own that the head references. Any daemon can write any shard, but each
// shard has a preferred daemon, to which the other daemons forward their operations
// as long as it answers.
package intent
