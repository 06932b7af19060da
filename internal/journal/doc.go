// Package journal stores the requests accepted by this daemon, with the
// numbered events of their answers.
//
// A Journal holds one Record per request. The attempts at upstreams append events
// to the record, and a caller's connection only reads from it through a Reader, so
// a slow or lost caller neither blocks nor loses an answer. A record that has
// ended is retained for some time for callers that reconnect. A limit bounds the
// memory of all records together.
//
// A record can move to another daemon: Copy and Import transfer it, and MarkMoved
// ends it on the former one. Its epoch increases with each move.
package journal
