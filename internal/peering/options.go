package peering

import (
	"encoding/json"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Options configures a Node. Self, Port, Now and Logger are required.
type Options struct {
	// IP is the address to listen on, Port the port of all daemons.
	IP   string
	Port int
	// Name is the name of this daemon.
	Name string
	// Self returns this daemon's report; a full one also has the counts that only a
	// holder of duties needs, which are its larger part.
	Self func(full bool) Report
	// Full reports whether this daemon needs the full reports of the others. Nil
	// means that it does.
	Full func() bool
	// Received is called with each report of another daemon. sentAt is when the
	// question that it answers was sent, on the boot clock, so that what the
	// report calls fresh was so then or later.
	Received func(r Report, feed Feed, sentAt, receivedAt time.Time)
	// Asked is called with the report of a daemon that asks.
	Asked func(r Report)
	// Feed returns the changes of the list of upstreams after a revision.
	Feed func(since int64) Feed
	// Important reports whether a daemon is asked more often than others.
	Important func(name string) bool
	// Called answers a call of another daemon.
	Called func(from Report, body json.RawMessage) json.RawMessage
	// Changed is called when a daemon appears, changes its state or is gone.
	Changed func()
	Now     func() time.Time
	Logger  *log.Logger
	Scope   tally.Scope
}
