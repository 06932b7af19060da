package server

import "context"

// KVMover is implemented by an Engine that can move a generation with its KV
// cache; *engineclient.Client does.
type KVMover interface {
	// Export stops a generation and returns its state.
	Export(ctx context.Context, address, requestID string) ([]byte, error)
	// Import continues an exported generation at another engine.
	Import(ctx context.Context, address string, state []byte) error
}
