package server

import "context"

// KVMover is an optional interface of an Engine that can transfer a generation
// with its KV cache. *engineclient.Client implements it.
type KVMover interface {
	// Export stops a generation and returns its state, which is opaque.
	Export(ctx context.Context, address, requestID string) ([]byte, error)
	// Import continues an exported generation at another engine.
	Import(ctx context.Context, address string, state []byte) error
}
