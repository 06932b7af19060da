package orders

import (
	"context"

	"rattantide/internal/engineclient"
	"rattantide/internal/membership"
)

// Engines is what a Controller calls at engines. The implementation must send
// each order once; engineclient.Client does, as a POST without an idempotency
// key is not repeated by the HTTP transport once bytes may have been sent.
type Engines interface {
	Load(ctx context.Context, address string) (*membership.Load, error)
	OrderState(ctx context.Context, address string) (*engineclient.OrderState, error)
	Order(ctx context.Context, address string, order engineclient.Order) (*engineclient.OrderState, error)
}

var _ Engines = (*engineclient.Client)(nil)
