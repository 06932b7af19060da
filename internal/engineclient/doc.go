// Package engineclient is the client of model engines. It covers resumable
// streams with numbered events, cancellation, load reports, cache events, KV
// cache transfer, and orders. An order tells an engine which version and role to
// take; its fencing token lets the engine refuse orders of a former leaseholder.
package engineclient
