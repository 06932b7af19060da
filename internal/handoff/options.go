package handoff

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/journal"
	"rattantide/internal/membership"
	"rattantide/internal/telemetry"
)

// Options are the collaborators and limits of a Manager. Zero limits take
// their defaults.
type Options struct {
	Self    membership.Daemon
	Members Members
	Peers   Peers
	Journal *journal.Journal
	Logger  *log.Logger
	Scope   tally.Scope

	// CallTimeout bounds one call to a peer. Default 1s.
	CallTimeout time.Duration
	// HolderTimeout is how long a holder may take to answer before its record
	// is taken over. It must exceed FreezeBound, so that a holder that was
	// frozen for longer notices that by itself. Default 1.5s.
	HolderTimeout time.Duration
	// FreezeBound is the gap in a daemon's own time after which it verifies
	// that it still holds its records. Default 500ms.
	FreezeBound time.Duration
	// Retain is how long a backup remembers who held a finished record.
	// Default 60s.
	Retain time.Duration
	// Parallel bounds the concurrent calls for copies, and again those of a
	// handoff. Default 32.
	Parallel int
	// MaxMessageBytes bounds a message from a peer. Default 64 MB.
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
		{&o.FreezeBound, 500 * time.Millisecond},
		{&o.Retain, time.Minute},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if o.Parallel <= 0 {
		o.Parallel = 32
	}
	if o.MaxMessageBytes <= 0 {
		o.MaxMessageBytes = 64 << 20
	}
	return o
}
