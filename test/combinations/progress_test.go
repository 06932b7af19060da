package combinations

import (
	"sync/atomic"

	"github.com/juju/errors"
)

// progress counts the tokens that all callers of a seed received and the orders that
// they finished. It is safe for concurrent use.
type progress struct {
	tokens, orders atomic.Int64
}

// reached returns a check for proc.Eventually that succeeds when both counts are
// reached.
func (p *progress) reached(tokens, orders int64) func() error {
	return func() error {
		if p.tokens.Load() < tokens || p.orders.Load() < orders {
			return errors.Errorf("received %d tokens and finished %d orders", p.tokens.Load(), p.orders.Load())
		}
		return nil
	}
}
