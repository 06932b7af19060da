package intent

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/peer"
)

// Options are the settings of a Log. Store and Table are required. A zero value of
// any other field takes its default.
type Options struct {
	Store objectclient.Store
	// Table provides this daemon and its peers.
	Table *membership.Table
	// Peers calls other daemons. When it is nil, nothing is forwarded.
	Peers *peer.Client
	// Shards is the number of shards. It must be the same on all daemons.
	// Default 16.
	Shards int
	// Retention is how long an outcome is stored. Default 1 h.
	Retention time.Duration
	// PendingTimeout is how long a call may be without an outcome before its
	// outcome is recorded as unknown. A later outcome replaces that record.
	// Default 10 min.
	PendingTimeout time.Duration
	// SegmentBytes bounds the finished entries in a shard's head, and the size
	// of a sealed segment. A shard with few segments seals smaller ones.
	// Default 256 KiB.
	SegmentBytes int
	// MaxBodyBytes bounds the response body that is stored with an outcome.
	// Default 16 KiB.
	MaxBodyBytes int
	// WritesPerSecond and WriteBurst are the rate and burst of a token bucket
	// that limits the writes of this daemon over all shards. Default 20 each.
	WritesPerSecond float64
	WriteBurst      int
	// FinishDelay is how long an outcome is held back so that it is written in
	// one batch with others. While the write budget is low, it is held back ten
	// times as long. If the daemon fails within this time, the outcome is
	// unknown. Default 100 ms.
	FinishDelay time.Duration
	// CommitTimeout bounds the time to commit an intent; after it the call is
	// refused. Default 3 s.
	CommitTimeout time.Duration
	// WaitPollInterval is how often a call that waits for the outcome of
	// another dispatch checks whether that dispatch is still in progress.
	// Default 500 ms.
	WaitPollInterval time.Duration
	// UnreachableTimeout is how long a requester's daemon may be unreachable
	// before the outcome of its call is reported as unknown. Default 3 s.
	UnreachableTimeout time.Duration
	// MaxQueuedPerShard bounds the begin operations that wait for a write, per
	// shard. Default 10,000.
	MaxQueuedPerShard int
	// Logger receives warnings about failures. Default: none.
	Logger *log.Logger
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
}

func (o *Options) setDefaults() {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&o.Retention, time.Hour},
		{&o.PendingTimeout, 10 * time.Minute},
		{&o.FinishDelay, 100 * time.Millisecond},
		{&o.CommitTimeout, 3 * time.Second},
		{&o.WaitPollInterval, 500 * time.Millisecond},
		{&o.UnreachableTimeout, 3 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.fallback
		}
	}
	for _, n := range []struct {
		field    *int
		fallback int
	}{
		{&o.Shards, 16},
		{&o.SegmentBytes, 256 << 10},
		{&o.MaxBodyBytes, 16 << 10},
		{&o.WriteBurst, 20},
		{&o.MaxQueuedPerShard, 10_000},
	} {
		if *n.field == 0 {
			*n.field = n.fallback
		}
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = 20
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}
