package engineclient

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// DesiredState is the state that an order requests of an engine. Empty fields request
// no change.
type DesiredState struct {
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Order requests that an engine change to a state. Sending the same order again is
// safe.
type Order struct {
	// Fence is the fencing token of the lease under which the order is sent.
	Fence   int64        `json:"fence"`
	ID      string       `json:"id"`
	Desired DesiredState `json:"want"`
}

// OrderState reports the last order that an engine accepted and its progress.
type OrderState struct {
	// Fence and ID are those of the order accepted last.
	Fence int64  `json:"fence"`
	ID    string `json:"id"`
	// Desired is the state requested last; Version and Role are the current state.
	Desired DesiredState `json:"want"`
	Version string       `json:"version"`
	Role    string       `json:"role"`
	// Loading is true while the requested version is being loaded.
	Loading bool `json:"loading"`
}

// Order sends an order. ErrStaleFence means that the engine has accepted an order
// with a newer token and did not run this one. After an error without NotRun the
// order may still take effect: read the state with OrderState before sending
// another order.
func (c *Client) Order(ctx context.Context, address string, order Order) (*OrderState, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, &Error{NotRun: true, Err: errors.Trace(err)}
	}
	state := &OrderState{}
	if err := c.callJSON(ctx, http.MethodPost, address, "/v1/orders", body, state); err != nil {
		return nil, err
	}
	return state, nil
}

// OrderState returns the engine's state with regard to orders.
func (c *Client) OrderState(ctx context.Context, address string) (*OrderState, error) {
	state := &OrderState{}
	if err := c.callJSON(ctx, http.MethodGet, address, "/v1/orders", nil, state); err != nil {
		return nil, err
	}
	return state, nil
}
