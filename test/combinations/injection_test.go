package combinations

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"rattantide/internal/proc"
)

const (
	// momentLimit bounds the wait for a moment that the other fault may keep
	// from coming.
	momentLimit = 10 * time.Second
	// longestFault bounds a fault that ends after a number of tokens, because it
	// may stop all tokens. It is longer than the callers' patience, so that they
	// move to other daemons in the meantime.
	longestFault = 5 * time.Second
)

// injection is a fault at a moment.
type injection struct {
	fault  fault
	target string
	// tokens or orders is the number after which the fault starts; the other
	// one is 0.
	tokens, orders int64
	// lasts is the number of tokens after which it ends.
	lasts int64
}

func newInjection(r *rand.Rand) injection {
	i := injection{fault: faults[r.IntN(len(faults))]}
	i.target = i.fault.targets[r.IntN(len(i.fault.targets))]
	if at := r.Float64() * 0.6; r.IntN(3) > 0 {
		i.tokens = 1 + int64(at*allTokens)
	} else {
		i.orders = 1 + int64(at*allOrders)
	}
	i.lasts = 50 + r.Int64N(allTokens/3)
	return i
}

// String describes the injection in the form of a failure report.
func (i injection) String() string {
	at := fmt.Sprintf("%d tokens", i.tokens)
	if i.orders > 0 {
		at = fmt.Sprintf("%d orders", i.orders)
	}
	if i.fault.end != nil {
		at += fmt.Sprintf(" for %d tokens", i.lasts)
	}
	return i.fault.name + " " + i.target + " at " + at
}

// run injects the fault at its moment, or when the traffic is over, and ends it.
func (i injection) run(ctx context.Context, f *fleet, p *progress, over <-chan struct{}) error {
	_ = proc.Eventually(ctx, momentLimit, over, p.reached(i.tokens, i.orders))
	if err := i.fault.start(ctx, f, i.target); err != nil {
		return fmt.Errorf("%s: %w", i, err)
	}
	if i.fault.end == nil {
		return nil
	}
	_ = proc.Eventually(ctx, longestFault, over, p.reached(p.tokens.Load()+i.lasts, 0))
	if err := i.fault.end(ctx, f, i.target); err != nil {
		return fmt.Errorf("end of %s: %w", i, err)
	}
	return nil
}
