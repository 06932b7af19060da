package combinations

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"rattantide/internal/proc"
)

const (
	// startTimeout bounds the wait for the start of a fault, because the other fault
	// may prevent the count that triggers it from being reached.
	startTimeout = 10 * time.Second
	// maxFaultDuration bounds a fault that ends after a number of tokens, because the
	// fault may stop all tokens. It exceeds the callers' read timeout, so that they
	// switch to other daemons during the fault.
	maxFaultDuration = 5 * time.Second
)

// injection is a fault with a target, a start and a duration.
type injection struct {
	fault  fault
	target string
	// startTokens or startOrders is the count of tokens or orders at which the fault
	// starts; the other one is 0.
	startTokens, startOrders int64
	// durationTokens is the number of further tokens after which the fault ends.
	durationTokens int64
}

// newInjection draws a random injection that starts in the first 60% of the traffic.
func newInjection(r *rand.Rand) injection {
	i := injection{fault: faults[r.IntN(len(faults))]}
	i.target = i.fault.targets[r.IntN(len(i.fault.targets))]
	if fraction := r.Float64() * 0.6; r.IntN(3) > 0 {
		i.startTokens = 1 + int64(fraction*totalTokens)
	} else {
		i.startOrders = 1 + int64(fraction*totalOrders)
	}
	i.durationTokens = 50 + r.Int64N(totalTokens/3)
	return i
}

// String describes the injection for a failure report.
func (i injection) String() string {
	trigger := fmt.Sprintf("%d tokens", i.startTokens)
	if i.startOrders > 0 {
		trigger = fmt.Sprintf("%d orders", i.startOrders)
	}
	if i.fault.end != nil {
		trigger += fmt.Sprintf(" for %d tokens", i.durationTokens)
	}
	return i.fault.name + " " + i.target + " at " + trigger
}

// run starts the fault when its count is reached, after startTimeout, or when
// trafficDone is closed, whichever comes first, and later ends it.
func (i injection) run(ctx context.Context, f *fleet, p *progress, trafficDone <-chan struct{}) error {
	_ = proc.Eventually(ctx, startTimeout, trafficDone, p.reached(i.startTokens, i.startOrders))
	if err := i.fault.start(ctx, f, i.target); err != nil {
		return fmt.Errorf("injecting %s: %w", i, err)
	}
	if i.fault.end == nil {
		return nil
	}
	_ = proc.Eventually(ctx, maxFaultDuration, trafficDone, p.reached(p.tokens.Load()+i.durationTokens, 0))
	if err := i.fault.end(ctx, f, i.target); err != nil {
		return fmt.Errorf("ending %s: %w", i, err)
	}
	return nil
}
