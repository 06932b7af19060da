package lease

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/bootclock"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
)

// Options configures a Manager. Store and Holder are required.
type Options struct {
	Store objectclient.Store
	// Holder is the name of this daemon.
	Holder string
	// Table lists the other daemons, over which the duties are spread, and
	// whether this daemon is leaving. If it is nil, this daemon is preferred for
	// every duty.
	Table *membership.Table
	// TTL is the lifetime of a lease in the store's time. Default: 15 s. The
	// holder stops a third of it before the expiry; this margin must exceed the
	// error of the store's time, which is at most the duration of a call.
	TTL time.Duration
	// MaxInterval bounds the time between two reads of a lease that another
	// daemon holds. Default: 10 min.
	MaxInterval time.Duration
	// ExpiresByObservation is for stores that do not return their time. A lease then
	// counts as expired once its object has been unchanged for TTL by this daemon's
	// clock.
	ExpiresByObservation bool
	// ResumesLease lets a restarted daemon take over a lease of its previous
	// process without waiting for the expiry. The platform must never run two
	// processes of a daemon at the same time.
	ResumesLease bool
	// PeersReachStore reports whether other daemons have reached the store since a given
	// time. A holder whose renewals have failed since then yields its lease
	// instead of holding it to the end; other daemons receive its token through
	// YieldedFence and RecordYield. If it is nil, leases are never yielded.
	PeersReachStore func(since time.Time) bool
	// IsSettled reports whether this daemon has had time to learn of the other daemons
	// since it started. Until then it reads no leases, as it would not know that others
	// are preferred. If it is nil, leases are read at once.
	IsSettled func() bool
	// Now is the clock of this daemon. It must include the time during which the
	// instance was suspended. Default: bootclock.Now.
	Now func() time.Time
	// Logger logs acquisitions and losses. Default: none.
	Logger *log.Logger
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
}

func (o *Options) setDefaults() {
	if o.TTL == 0 {
		o.TTL = 15 * time.Second
	}
	if o.MaxInterval == 0 {
		o.MaxInterval = 10 * time.Minute
	}
	if o.Now == nil {
		o.Now = bootclock.Now
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}
