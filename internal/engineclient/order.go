package engineclient

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// Want is the state that an order asks an engine to reach. Empty fields leave
// the engine as it is.
type Want struct {
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Order asks an engine to reach a state. The same order may be sent again.
type Order struct {
	// Fence is the fencing token of the lease under which the order is sent.
	Fence int64  `json:"fence"`
	ID    string `json:"id"`
	Want  Want   `json:"want"`
}

// OrderState is the state of an engine with regard to orders.
type OrderState struct {
	// Fence and ID are of the order accepted last.
	Fence int64  `json:"fence"`
	ID    string `json:"id"`
	// Want is the state that was ordered last, Version and Role the one reached.
	Want    Want   `json:"want"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Loading says that the ordered version is still being loaded.
	Loading bool `json:"loading"`
}

// Order sends an order. ErrStaleFence means that the engine has accepted an
// order with a newer token and did not run this one. After an error without
// NotRun the order may still take effect; observe the state before the next.
func (c *Client) Order(ctx context.Context, address string, order Order) (*OrderState, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, &Error{NotRun: true, Err: errors.Trace(err)}
	}
	state := &OrderState{}
	if err := c.fetch(ctx, http.MethodPost, address, "/v1/orders", body, state); err != nil {
		return nil, err
	}
	return state, nil
}

// OrderState reads the state of an engine with regard to orders.
func (c *Client) OrderState(ctx context.Context, address string) (*OrderState, error) {
	state := &OrderState{}
	if err := c.fetch(ctx, http.MethodGet, address, "/v1/orders", nil, state); err != nil {
		return nil, err
	}
	return state, nil
}
