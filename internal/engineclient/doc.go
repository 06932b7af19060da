// Package engineclient is the client of model engines. It covers resumable
// streams with numbered events, cancellation, load reports, cache events, KV
// cache transfer, and orders protected by a fencing token.
package engineclient
