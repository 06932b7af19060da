// Package engineclient calls model engines: numbered streams with resumption
// and cancellation, load reports, cache events, KV cache transfer and orders
// with a fencing token.
package engineclient
