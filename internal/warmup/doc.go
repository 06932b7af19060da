// Package warmup limits the requests to upstreams that have just started and tolerate few
// of them, over all daemons together and without messages between them. Each such upstream
// is assigned to some daemons by rendezvous hashing, and each of these sends it at most one
// request per second.
package warmup
