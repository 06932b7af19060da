package handoff

import "context"

// Peers calls other daemons; *peer.Client implements it.
type Peers interface {
	// Call is specified at peer.Client.Call.
	Call(ctx context.Context, method, address, path string, in, out any) error
}
