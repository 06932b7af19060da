package server

import (
	"context"

	"rattantide/internal/engineclient"
	"rattantide/internal/relay"
)

// Engine calls model engines. It is safe for concurrent use.
type Engine interface {
	// Stream starts or resumes a generation. The stream ends with ctx. The error
	// is an *engineclient.Error.
	Stream(ctx context.Context, r engineclient.StreamRequest) (EngineStream, error)
	// Cancel ends a generation and frees its slot in the engine.
	Cancel(ctx context.Context, address, requestID string) error
}

// EngineStream is an open generation; see engineclient.Stream.
type EngineStream interface {
	Next() (relay.Event, error)
	Close() error
}
