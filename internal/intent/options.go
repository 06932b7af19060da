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

// Options are the settings of a Log.
type Options struct {
	Store objectclient.Store
	// Table names this daemon and the others.
	Table *membership.Table
	// Peers calls other daemons. Without it nothing is forwarded.
	Peers *peer.Client
	// Shards is the number of shards; all daemons must use the same. Default 16.
	Shards int
	// Retention is how long an outcome is remembered. Default 1 h.
	Retention time.Duration
	// PendingMax is how long a call may be without an outcome before it is
	// recorded as unknown; a later outcome still replaces that. Default 10 min.
	PendingMax time.Duration
	// SegmentBytes bounds the finished entries in a shard's head, and a sealed
	// segment. A shard with few segments seals smaller ones. Default 256 KB.
	SegmentBytes int
	// MaxBodyBytes bounds an answer's body that is kept. Default 16 KB.
	MaxBodyBytes int
	// WritesPerSecond is the budget of this daemon's writes, all shards
	// together, and WriteBurst what may be saved up. Default 20 and 20.
	WritesPerSecond float64
	WriteBurst      int
	// FinishDelay is how long an outcome waits for others to be written
	// together with it, and ten times that while the write budget is short. An
	// outcome that is lost with its daemon within this time is unknown. Default
	// 100 ms.
	FinishDelay time.Duration
	// CommitTimeout bounds the time in which an intent must be committed; then
	// the call is refused. Default 3 s.
	CommitTimeout time.Duration
	// WaitPoll is how often it is checked, for a call that waits for the
	// outcome of another, whether that is still in progress. Default 500 ms.
	WaitPoll time.Duration
	// UnreachableAfter is how long a requester's daemon may fail to answer
	// before the outcome of its call is given as unknown. Default 3 s.
	UnreachableAfter time.Duration
	// MaxQueue bounds the operations that wait for a write, per shard. Default
	// 10,000.
	MaxQueue int
	// Logger receives failures. Default: none.
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
		{&o.PendingMax, 10 * time.Minute},
		{&o.FinishDelay, 100 * time.Millisecond},
		{&o.CommitTimeout, 3 * time.Second},
		{&o.WaitPoll, 500 * time.Millisecond},
		{&o.UnreachableAfter, 3 * time.Second},
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
		{&o.MaxQueue, 10_000},
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
