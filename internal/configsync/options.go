package configsync

import (
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/peer"
)

// Options configures a Syncer. Store, Cache and Table are required.
type Options struct {
	Store objectclient.Store
	Cache *Cache
	Table *membership.Table
	// Peers calls other daemons.
	Peers *peer.Client
	// Region is the daemon's region. At the start, its relays are polled before other
	// daemons.
	Region string
	// PeerAddresses are the addresses of daemons to poll at the start, and whenever
	// the Table contains no other reachable daemon.
	PeerAddresses []string
	// InstanceListAddress and CloudAddress are the addresses of the platform's instance
	// list and cloud API. A service with an empty address is not polled.
	InstanceListAddress string
	CloudAddress        string
	// HTTP is the client for the instance list and the cloud API. Default
	// http.DefaultClient.
	HTTP *http.Client
	// RelaysPerRegion is the number of relays in a region. Default 2.
	RelaysPerRegion int
	// PollWait is how long a peer may delay its response to a poll until there are
	// changes. Default 5 s.
	PollWait time.Duration
	// PollSlack is the additional time after which a poll times out, so that a hung
	// relay is detected. Default 2 s.
	PollSlack time.Duration
	// ListInterval is the minimum time between two polls of the instance list.
	// Default 1 s.
	ListInterval time.Duration
	// ListBytesPerSecond limits the rate at which the instance list is read: a long
	// list is polled less often. Default 10 kB/s, so that a relay uses less than
	// 14 kB/s for the whole control plane.
	ListBytesPerSecond int64
	// StartWait is how long the start waits for the object API after a peer has sent a
	// configuration. Default 1 s.
	StartWait time.Duration
	// RelayRetention is how long a daemon continues to act as a relay after it is no
	// longer among the preferred ones, so that a peer whose state alternates does not
	// cause repeated lists. Default 10 s.
	RelayRetention time.Duration
	// Logger receives messages about changes of role and failures. Default: none.
	Logger *log.Logger
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
}

func (o *Options) setDefaults() {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	if o.Peers == nil {
		o.Peers = &peer.Client{}
	}
	if o.RelaysPerRegion == 0 {
		o.RelaysPerRegion = 2
	}
	if o.ListBytesPerSecond == 0 {
		o.ListBytesPerSecond = 10_000
	}
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&o.PollWait, 5 * time.Second},
		{&o.PollSlack, 2 * time.Second},
		{&o.ListInterval, time.Second},
		{&o.StartWait, time.Second},
		{&o.RelayRetention, 10 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.fallback
		}
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}
