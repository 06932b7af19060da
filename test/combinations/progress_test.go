package combinations

import (
	"sync/atomic"

	"github.com/juju/errors"
)

// progress counts what all callers of a seed received.
type progress struct {
	tokens, orders atomic.Int64
}

// reached returns a condition that holds when both counts are reached.
func (p *progress) reached(tokens, orders int64) func() error {
	return func() error {
		if p.tokens.Load() < tokens || p.orders.Load() < orders {
			return errors.Errorf("%d tokens and %d orders", p.tokens.Load(), p.orders.Load())
		}
		return nil
	}
}
