// Package quota holds workspaces to their quotas. Each daemon owns one part in N of
// each quota and lends it to the pool of one daemon, the same for all as far as they
// see the same daemons, so that a workspace may spend its quota wherever its requests
// arrive. Who cannot reach that daemon lends to the next one, and at last keeps its
// part: what all spend stays within the quota whoever is cut off or gone.
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
	// maxHolders is how many daemons, in the order of preference, may hold the pool.
	maxHolders = 3
	// maxAsks bounds the daemons that one request waits for.
	maxAsks = 2
	// suspectFor is how long a daemon that did not answer is left alone, if it is
	// heard of again.
	suspectFor = time.Second
	// maxSuspects bounds the daemons that are kept as suspects; most are gone for good.
	maxSuspects = 64
	// stayFor is how long a daemon stays with a pool before it goes back to a more
	// preferred one; the buckets there are empty by then, as they must be.
	stayFor = 5 * time.Second
	// creditLife is how long the cost of a request that did not run is kept for
	// the next one. What is kept longer would be spent in a window in which the
	// pool has granted it again.
	creditLife = 500 * time.Millisecond
)

// Source asks the pool of another daemon.
type Source interface {
	// Ask reports whether the pool granted the cost, or when it may; answered is
	// false without an answer.
	Ask(ctx context.Context, holder, workspace string, cost float64) (granted bool, after time.Duration, answered bool)
}

// Options configures a Keeper. All fields but Moved are required.
type Options struct {
	// Self is the name of this daemon.
	Self string
	// Holders returns the daemons that may hold the pool, this one included, in the
	// order of preference.
	Holders func() []string
	// Pool is the pool of this daemon.
	Pool   *Pool
	Source Source
	// Moved is called when this daemon takes from another pool than before.
	Moved func(from, to string)
	// Now is the clock that counts suspensions.
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
}

// Keeper implements gateway.Quota. It is safe for concurrent use.
type Keeper struct {
	opts Options

	mu sync.Mutex
	// holder is the daemon from whose pool this one takes, since since.
	holder   string
	since    time.Time
	suspects map[string]suspect
	credits  map[string]credit
}

// suspect is a daemon that did not answer at a moment, and when it was asked the last
// time that it answered a question.
type suspect struct {
	at      time.Time
	heardAt time.Time
}

// credit is the cost of requests that were granted and did not run.
type credit struct {
	cost float64
	at   time.Time
}

// NewKeeper returns a Keeper.
func NewKeeper(opts Options) *Keeper {
	return &Keeper{opts: opts, suspects: map[string]suspect{}, credits: map[string]credit{}}
}

// Heard records that a daemon answered a question that was sent at askedAt.
func (k *Keeper) Heard(daemon string, askedAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, known := k.suspects[daemon]; known && askedAt.After(s.heardAt) {
		s.heardAt = askedAt
		k.suspects[daemon] = s
	}
}

// Holder returns the daemon from whose pool this one takes its quotas, or "".
func (k *Keeper) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder
}

// Take implements gateway.Quota.
func (k *Keeper) Take(ctx context.Context, w *fleetconfig.Workspace, cost float64) (ok bool, after time.Duration) {
	if w.Rate <= 0 || cost <= 0 {
		return true, 0
	}
	if k.spendCredit(w.Name, cost) {
		return true, 0
	}
	for range maxAsks {
		holder := k.choose()
		if holder == k.opts.Self {
			break
		}
		granted, after, answered := k.opts.Source.Ask(ctx, holder, w.Name, cost)
		if answered {
			k.move(holder)
			return granted, max(after, minAfter)
		}
		if ctx.Err() != nil {
			return false, minAfter
		}
		k.unanswered(holder)
	}
	k.move(k.opts.Self)
	return k.opts.Pool.Grant(w, cost)
}

// choose returns the daemon whose pool is to be asked, which may be this one.
func (k *Keeper) choose() string {
	// Holders takes locks under which others may call this Keeper.
	holders := k.opts.Holders()
	holders = holders[:min(maxHolders, len(holders))]
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	chosen := k.opts.Self
	for _, name := range holders {
		if !k.suspected(name, now) {
			chosen = name
			break
		}
	}
	stays := k.holder != k.opts.Self && slices.Contains(holders, k.holder) && !k.suspected(k.holder, now)
	if stays && now.Sub(k.since) < stayFor {
		chosen = k.holder
	}
	return chosen
}

// suspected reports whether a daemon did not answer and has not recovered. The lock is
// held.
func (k *Keeper) suspected(name string, now time.Time) bool {
	s, known := k.suspects[name]
	if !known {
		return false
	}
	if now.Sub(s.at) >= suspectFor && s.heardAt.After(s.at) {
		delete(k.suspects, name)
		return false
	}
	return true
}

// unanswered makes a daemon that did not answer be passed over.
func (k *Keeper) unanswered(holder string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.opts.Scope.Counter("quota_unanswered").Inc(1)
	k.suspects[holder] = suspect{at: k.opts.Now()}
	if len(k.suspects) > maxSuspects {
		clear(k.suspects)
	}
}

// move records from whose pool this daemon takes.
func (k *Keeper) move(to string) {
	k.mu.Lock()
	from := k.holder
	if from == to {
		k.mu.Unlock()
		return
	}
	k.holder, k.since = to, k.opts.Now()
	k.mu.Unlock()
	k.opts.Pool.UseOwn(to == k.opts.Self)
	k.opts.Logger.Info("takes quotas from another pool", "holder", to, "before", from)
	if k.opts.Moved != nil {
		k.opts.Moved(from, to)
	}
}

// spendCredit takes a cost from what requests that did not run had taken.
func (k *Keeper) spendCredit(workspace string, cost float64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	held, known := k.credits[workspace]
	if !known || held.cost < cost || k.opts.Now().Sub(held.at) >= creditLife {
		return false
	}
	k.credits[workspace] = credit{cost: held.cost - cost, at: held.at}
	return true
}

// Return implements gateway.Quota.
func (k *Keeper) Return(w *fleetconfig.Workspace, cost float64) {
	if w.Rate <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	held := k.credits[w.Name]
	if now.Sub(held.at) >= creditLife {
		held = credit{at: now}
	}
	held.cost += cost
	k.credits[w.Name] = held
}
