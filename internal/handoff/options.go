package handoff

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/journal"
	"rattantide/internal/membership"
	"rattantide/internal/telemetry"
)

// Options are the collaborators and limits of a Manager. Logger and Scope may be
// nil; the other collaborators are required. A limit that is zero or negative takes
// its default.
type Options struct {
	Self    membership.Daemon
	Members Members
	Peers   Peers
	Journal *journal.Journal
	Logger  *log.Logger
	Scope   tally.Scope

	// CallTimeout bounds one call to a peer. Default 1 s.
	CallTimeout time.Duration
	// HolderTimeout is how long a holder may take to answer before its record
	// is taken over. It must exceed FreezeThreshold, so that a holder that was
	// frozen for longer than HolderTimeout detects the freeze itself. Default
	// 1.5 s.
	HolderTimeout time.Duration
	// FreezeThreshold is the length of a freeze of this process, seen as a gap on
	// its own clock, after which it verifies that it still holds its records.
	// Default 500 ms.
	FreezeThreshold time.Duration
	// PointerRetention is how long a backup stores the pointer to the holder of
	// a released record, and how long it stores a copy after the record's
	// deadline. Default 60 s.
	PointerRetention time.Duration
	// Concurrency bounds the concurrent copy updates, and separately the
	// concurrent calls of a handoff. Default 32.
	Concurrency int
	// MaxMessageBytes bounds a request from a peer. Default 64 MiB.
	MaxMessageBytes int64
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = telemetry.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.CallTimeout, time.Second},
		{&o.HolderTimeout, 1500 * time.Millisecond},
		{&o.FreezeThreshold, 500 * time.Millisecond},
		{&o.PointerRetention, time.Minute},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if o.Concurrency <= 0 {
		o.Concurrency = 32
	}
	if o.MaxMessageBytes <= 0 {
		o.MaxMessageBytes = 64 << 20
	}
	return o
}
