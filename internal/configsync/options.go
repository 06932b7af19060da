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

// Options are the settings of a Syncer.
type Options struct {
	Store objectclient.Store
	Cache *Cache
	Table *membership.Table
	// Peers calls other daemons.
	Peers *peer.Client
	// Region is the daemon's region; relays are chosen within it.
	Region string
	// PeerAddresses are daemons to ask when the Table names none.
	PeerAddresses []string
	// InstanceList and Cloud are the platform's addresses; an empty one is not
	// polled.
	InstanceList string
	Cloud        string
	// HTTP is the client for the instance list and the cloud API. Default
	// http.DefaultClient.
	HTTP *http.Client
	// Relays is the number of relays in a region. Default 2.
	Relays int
	// Wait is how long a relay may hold back an answer without news. A relay
	// that hangs is noticed PollSlack after that. Default 5 s.
	Wait time.Duration
	// PollSlack is how long after Wait an answer is given up. Default 2 s.
	PollSlack time.Duration
	// ListInterval is the shortest time between two polls of the instance
	// list. Default 1 s.
	ListInterval time.Duration
	// ListBytesPerSecond stretches the interval for a long list. Default
	// 10 kB/s, so that a relay stays below 14 kB/s for the whole control plane.
	ListBytesPerSecond int64
	// StartWait is how long a start waits for the object API once a peer has
	// answered. Default 1 s.
	StartWait time.Duration
	// RelayHold is how long a daemon stays a relay after it ceased to be among
	// the preferred ones, so that a flapping peer costs no lists. Default 10 s.
	RelayHold time.Duration
	// Logger receives changes of role and failures. Default: none.
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
	if o.Relays == 0 {
		o.Relays = 2
	}
	if o.ListBytesPerSecond == 0 {
		o.ListBytesPerSecond = 10_000
	}
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&o.Wait, 5 * time.Second},
		{&o.PollSlack, 2 * time.Second},
		{&o.ListInterval, time.Second},
		{&o.StartWait, time.Second},
		{&o.RelayHold, 10 * time.Second},
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
