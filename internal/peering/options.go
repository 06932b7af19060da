package peering

import (
	"encoding/json"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Options configures a Node. IP, Name, Self, Now, Logger and Scope are required.
type Options struct {
	// IP is the address to listen on. Port is the UDP port used by all daemons; 0
	// chooses a free one.
	IP   string
	Port int
	// Name is the name of this daemon.
	Name string
	// Self returns this daemon's report. A full report also contains the request
	// counts, which make up most of its size and which only a holder of duties
	// needs.
	Self func(full bool) Report
	// Full reports whether this daemon needs full reports from the other daemons.
	// Nil means that it does.
	Full func() bool
	// Received is called with each report received in a response. sentAt is when
	// the request was sent, on the boot clock: ages in the report count from a
	// moment not before sentAt. Nil means that reports are only stored.
	Received func(r Report, feed Feed, sentAt, receivedAt time.Time)
	// Asked is called with the report contained in a request from another daemon.
	// It may be nil.
	Asked func(r Report)
	// Feed returns the changes of the list of upstreams after a revision. It may be
	// nil.
	Feed func(since int64) Feed
	// Important reports whether requests are sent to a daemon with priority, at
	// shorter intervals. Nil means that no daemon has priority.
	Important func(name string) bool
	// Called handles a call from another daemon and returns the reply. It is
	// required if daemons use Call.
	Called func(from Report, body json.RawMessage) json.RawMessage
	// Changed is called when a daemon becomes alive or ready, or ceases to be. It
	// may be nil.
	Changed func()
	Now     func() time.Time
	Logger  *log.Logger
	Scope   tally.Scope
}
