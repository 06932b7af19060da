package versionmove

import (
	"context"
	"time"
)

const (
	// judgeInterval is the time between two passes of the holder over the running moves, and
	// switchInterval the same while the time of a switch is near. reconcilePasses is the
	// number of passes after which it reads the declared moves again if no watch is waiting
	// for a change of them. If all have ended, each pass awaits another.
	judgeInterval   = 250 * time.Millisecond
	switchInterval  = 50 * time.Millisecond
	reconcilePasses = 4
)

// Run reconciles until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	changes := make(chan bool, 1)
	isWaiting := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			c.pass(ctx)
			timer.Reset(c.passInterval())
		case changed := <-changes:
			isWaiting = false
			if changed {
				c.reconcile(ctx)
			}
		}
		if !isWaiting && c.hasRunning() {
			isWaiting = true
			go func() { changes <- c.awaitChange(ctx) }()
		}
	}
}

// awaitChange waits for a change of the declared moves and reports whether there may be
// one. Until a failed wait is followed by another, passes read the moves from time to time.
func (c *Controller) awaitChange(ctx context.Context) bool {
	c.isWatching.Store(true)
	changed, err := c.opts.Declarations.AwaitChange(ctx)
	if err != nil {
		c.isWatching.Store(false)
		select {
		case <-ctx.Done():
		case <-time.After(reconcilePasses * judgeInterval):
		}
	}
	return changed
}

// pass advances the running moves. It reads the declared ones when the duty begins, from
// time to time unless a change of them is awaited, and always if that means to await one.
// Without the duty it discards all records.
func (c *Controller) pass(ctx context.Context) {
	if _, held := c.opts.Held(); !held {
		c.passes = 0
		c.discard()
		return
	}
	c.passes++
	isFull := c.passes%reconcilePasses == 1
	if c.passes == 1 || isFull && !c.isWatching.Load() || c.awaitsDeclaration() {
		c.reconcile(ctx)
		return
	}
	c.advanceAll(ctx, isFull)
}

// passInterval returns the time until the next pass: that until a move is about to switch,
// if it is less than judgeInterval.
func (c *Controller) passInterval() time.Duration {
	interval, now := judgeInterval, c.opts.Now()
	for _, d := range c.declared {
		m := c.moves[d.Service]
		switch {
		case d.Ended || m == nil:
		case m.state.Phase == PhaseRunning:
			interval = min(interval, m.switchAt.Sub(now))
		case m.reportedPhase != m.state.Phase:
			interval = switchInterval
		}
	}
	return max(switchInterval, interval)
}

// awaitsDeclaration reports whether the latest read of the declared moves succeeded and all
// of them have ended.
func (c *Controller) awaitsDeclaration() bool {
	running := c.running.Load()
	return running != nil && len(*running) == 0 && !c.readFailed
}

// hasRunning reports whether a declared move has not ended, as far as this daemon holds the
// duty.
func (c *Controller) hasRunning() bool {
	running := c.running.Load()
	return running != nil && len(*running) > 0
}
