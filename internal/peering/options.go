package peering

import (
	"encoding/json"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/objectclient"
)

// Options configures a Node. IP, Name, SelfReport, Now, Logger and Scope are required.
// The functions must be safe for concurrent use. They must return quickly, as most of
// them are called by the goroutine that receives messages. Except for Now, they may call
// methods of the Node other than Call. SelfReport and NeedsFull must not call Announce or
// Notify, which call them.
type Options struct {
	// IP is the address to listen on. Port is the UDP port used by all daemons; 0
	// chooses a free one.
	IP   string
	Port int
	// Name is the name of this daemon, and Process identifies its process.
	Name    string
	Process string
	// SelfReport returns this daemon's report. A full report also contains the counts
	// (VersionTallies, LatencyHistograms and RequestCounts), which make up most of its
	// size and which only a holder of duties needs.
	SelfReport func(full bool) Report
	// NeedsFull reports whether this daemon needs full reports from the other daemons.
	// Nil means that it does.
	NeedsFull func() bool
	// OnReport is called with each report received in a response. sentAt is when
	// the request was sent, on the boot clock. The report was created after sentAt: a
	// state that it declares to have been confirmed d ago was confirmed at sentAt-d or
	// later. Nil means that reports are only stored.
	OnReport func(r Report, feed Feed, sentAt, receivedAt time.Time)
	// OnRequest is called with the report contained in a request from another daemon.
	// It may be nil.
	OnRequest func(r Report)
	// Feed returns the changes of the list of upstreams after a revision. It may be
	// nil.
	Feed func(since objectclient.Revision) Feed
	// HasPriority reports whether requests are sent to a daemon with priority, at
	// shorter intervals. Nil means that no daemon has priority.
	HasPriority func(name string) bool
	// HandleCall handles a call from another daemon and returns the reply. It is
	// required if daemons use Call.
	HandleCall func(from Report, body json.RawMessage) json.RawMessage
	// OnChange is called when the set of daemons that are alive and not leaving, or
	// the readiness of one of them, changes. It may be nil.
	OnChange func()
	// Now is the boot clock, which also advances while the machine is suspended.
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
}
