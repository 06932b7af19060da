package server

import (
	"context"

	"rattantide/internal/engineclient"
)

// EngineClient adapts an engineclient.Client to Engine.
type EngineClient struct {
	*engineclient.Client
}

// Stream implements Engine.
func (c EngineClient) Stream(ctx context.Context, r engineclient.StreamRequest) (EngineStream, error) {
	stream, err := c.Client.Stream(ctx, r)
	if err != nil {
		return nil, err
	}
	return stream, nil
}
