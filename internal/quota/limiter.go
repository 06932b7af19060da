// Package quota enforces the quotas of workspaces across all daemons. Each of
// the N daemons owns a share of 1/N of each quota and lends it to the pool of
// one daemon, the holder. The holder is the same for all daemons that have the
// same view of the membership, so that a workspace may spend its quota wherever
// its requests arrive. A daemon that cannot reach the holder lends its share to
// the next daemon in the order of preference, and finally uses it itself. The
// total cost therefore stays within the quota when any daemons are lost or
// isolated.
package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/fleetconfig"
)

const (
	// maxHolders is the number of daemons, in the order of preference, that may
	// hold the pool.
	maxHolders = 3
	// maxRemoteAttempts bounds the number of daemons that one request waits
	// for.
	maxRemoteAttempts = 2
	// minSuspectTime is the minimum time for which a daemon that did not answer
	// is skipped. After that, it is still skipped until it has answered a
	// request that was sent after it became suspect.
	minSuspectTime = time.Second
	// maxSuspects bounds the number of suspect records, as most suspects never
	// return. All records are discarded when it is exceeded.
	maxSuspects = 64
	// minStay is how long a daemon uses the pool of another daemon that answers
	// before it returns to a more preferred one. This gives the more preferred
	// pool time to remove the daemon's share and to limit its buckets to the
	// capacity of the remaining shares; otherwise the total could exceed the
	// bound.
	minStay = 5 * time.Second
	// creditTTL is how long the cost of a request that did not run may be
	// reused by later requests. A cost that is stored for longer would be spent
	// in a window in which the pool has granted it again.
	creditTTL = 500 * time.Millisecond
)

// RemotePool takes quota from the pool of another daemon.
type RemotePool interface {
	// Take reports whether the holder granted the cost, and otherwise the time
	// after which it may. answered is false when the holder did not answer.
	Take(ctx context.Context, holder, workspace string, cost float64) (granted bool, retryAfter time.Duration, answered bool)
}

// Options configures a Limiter. All fields except OnHolderChange are required.
type Options struct {
	// Self is the name of this daemon.
	Self string
	// Holders returns the daemons that may hold the pool, including this one,
	// in the order of preference.
	Holders func() []string
	// Pool is the pool of this daemon.
	Pool       *Pool
	RemotePool RemotePool
	// OnHolderChange, when set, is called after the holder that this daemon uses has
	// changed.
	OnHolderChange func(from, to string)
	// Now is the clock, which must include the time during which the machine is
	// suspended.
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
}

// Limiter takes quota from the pool of the current holder, or from the local
// pool when no holder answers. It implements gateway.Quota and is safe for
// concurrent use.
type Limiter struct {
	opts Options

	mu sync.Mutex
	// holder is the daemon whose pool has been used since holderSince.
	holder      string
	holderSince time.Time
	suspects    map[string]suspect
	credits     map[string]credit
}

// suspect is a daemon that did not answer at suspectedAt. answeredRequestAt is
// when the latest request that it answered was sent.
type suspect struct {
	suspectedAt       time.Time
	answeredRequestAt time.Time
}

// credit is the cost of requests that were granted and did not run. createdAt
// is when the first of them was returned.
type credit struct {
	cost      float64
	createdAt time.Time
}

// NewLimiter returns a Limiter.
func NewLimiter(opts Options) *Limiter {
	return &Limiter{opts: opts, suspects: map[string]suspect{}, credits: map[string]credit{}}
}

// RecordAnswer records that a daemon answered a request that was sent at sentAt.
func (l *Limiter) RecordAnswer(daemon string, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, known := l.suspects[daemon]; known && sentAt.After(s.answeredRequestAt) {
		s.answeredRequestAt = sentAt
		l.suspects[daemon] = s
	}
}

// Holder returns the daemon whose pool is used, or "" before the first use.
func (l *Limiter) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// Take implements gateway.Quota. It waits for the answers of at most
// maxRemoteAttempts other daemons. A workspace with a rate of 0 has no limit.
func (l *Limiter) Take(ctx context.Context, w *fleetconfig.Workspace, cost float64) (ok bool, retryAfter time.Duration) {
	if w.Rate <= 0 || cost <= 0 {
		return true, 0
	}
	if l.spendCredit(w.Name, cost) {
		return true, 0
	}
	for range maxRemoteAttempts {
		holder := l.chooseHolder()
		if holder == l.opts.Self {
			break
		}
		granted, retryAfter, answered := l.opts.RemotePool.Take(ctx, holder, w.Name, cost)
		if answered {
			l.setHolder(holder)
			return granted, max(retryAfter, minRetryAfter)
		}
		if ctx.Err() != nil {
			return false, minRetryAfter
		}
		l.markSuspected(holder)
	}
	l.setHolder(l.opts.Self)
	return l.opts.Pool.Grant(w, cost)
}

// chooseHolder returns the daemon whose pool is to be used, which may be this
// one.
func (l *Limiter) chooseHolder() string {
	// Holders acquires locks that other goroutines hold while they call this
	// Limiter.
	holders := l.opts.Holders()
	holders = holders[:min(maxHolders, len(holders))]
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	chosen := l.opts.Self
	for _, name := range holders {
		if !l.isSuspected(name, now) {
			chosen = name
			break
		}
	}
	isHolderUsable := l.holder != l.opts.Self && slices.Contains(holders, l.holder) && !l.isSuspected(l.holder, now)
	if isHolderUsable && now.Sub(l.holderSince) < minStay {
		chosen = l.holder
	}
	return chosen
}

// isSuspected reports whether a daemon did not answer and has not recovered
// since. The caller holds l.mu.
func (l *Limiter) isSuspected(name string, now time.Time) bool {
	s, known := l.suspects[name]
	if !known {
		return false
	}
	if now.Sub(s.suspectedAt) >= minSuspectTime && s.answeredRequestAt.After(s.suspectedAt) {
		delete(l.suspects, name)
		return false
	}
	return true
}

// markSuspected makes chooseHolder skip a daemon that did not answer.
func (l *Limiter) markSuspected(holder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opts.Scope.Counter("quota_unanswered").Inc(1)
	l.suspects[holder] = suspect{suspectedAt: l.opts.Now()}
	if len(l.suspects) > maxSuspects {
		clear(l.suspects)
	}
}

// setHolder records whose pool is used, and reports a change.
func (l *Limiter) setHolder(holder string) {
	l.mu.Lock()
	previous := l.holder
	if previous == holder {
		l.mu.Unlock()
		return
	}
	l.holder, l.holderSince = holder, l.opts.Now()
	l.mu.Unlock()
	l.opts.Pool.SetLocalUse(holder == l.opts.Self)
	l.opts.Logger.Info("quota pool holder changed", "holder", holder, "before", previous)
	if l.opts.OnHolderChange != nil {
		l.opts.OnHolderChange(previous, holder)
	}
}

// spendCredit consumes cost from the credit of a workspace. It returns false
// when the credit is too small or has expired.
func (l *Limiter) spendCredit(workspace string, cost float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	available, known := l.credits[workspace]
	if !known || available.cost < cost || l.opts.Now().Sub(available.createdAt) >= creditTTL {
		return false
	}
	l.credits[workspace] = credit{cost: available.cost - cost, createdAt: available.createdAt}
	return true
}

// Return implements gateway.Quota. It credits the cost of a request that was
// granted and did not run.
func (l *Limiter) Return(w *fleetconfig.Workspace, cost float64) {
	if w.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	updated := l.credits[w.Name]
	if now.Sub(updated.createdAt) >= creditTTL {
		updated = credit{createdAt: now}
	}
	updated.cost += cost
	l.credits[w.Name] = updated
}
