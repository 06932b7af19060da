// Package upstreamlimit keeps all daemons together within the number of requests per second
// that an upstream takes, without a message per request. Each such upstream is assigned to
// some daemons by rendezvous hashing, and each of these sends it one request per interval.
//
// There are two kinds of limits. That of an upstream that has just started is known from
// the list of upstreams and holds in each second, even if the fleet is split. One that an
// upstream names in its responses is learned by the daemons that get one, and exchanged
// among all by Named.
package upstreamlimit
