package daemon

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/admission"
	"rattantide/internal/api"
	"rattantide/internal/burn"
	"rattantide/internal/callerbudget"
	"rattantide/internal/configsync"
	"rattantide/internal/dispatch"
	"rattantide/internal/engineclient"
	"rattantide/internal/handoff"
	"rattantide/internal/intent"
	"rattantide/internal/journal"
	"rattantide/internal/lease"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/peer"
	"rattantide/internal/rollout"
	"rattantide/internal/routing"
	"rattantide/internal/server"
	"rattantide/internal/settings"
	"rattantide/internal/telemetry"
	"rattantide/internal/upstreampath"
	"rattantide/internal/upstreamwatch"
)

// callerShare is the part of the journal's memory that bodies may hold until their requests
// are accepted, as a divisor.
const callerShare = 8

// Daemon is a daemon with all its components. Run must be called exactly once.
type Daemon struct {
	settings *settings.Settings
	logger   *log.Logger
	scope    tally.Scope
	metrics  http.Handler
	closers  []io.Closer
	listener net.Listener

	httpClient *http.Client
	// transport is that of httpClient. dialUpstream opens connections to upstreams, and paths
	// judges which of them are reached.
	transport    *http.Transport
	dialUpstream upstreampath.DialFunc
	paths        *upstreampath.Monitor
	// storeClient makes the calls of the object API.
	storeClient    *http.Client
	peers          *peer.Client
	store          *objectclient.Client
	cache          *configsync.Cache
	table          *membership.Table
	syncer         *configsync.Syncer
	trackers       *routing.Trackers
	admission      *admission.Controller
	dispatcher     *dispatch.Dispatcher
	engines        *engineclient.Client
	journal        *journal.Journal
	intentLog      *intent.Log
	server         *server.Server
	burn           *burn.Recorder
	leases         *lease.Manager
	moveGuard      *rollout.Guard
	moveController *rollout.Controller
	movePeers      *movePeers
	watcher        *upstreamwatch.Watcher
	handoff        *handoff.Manager

	drainOnce sync.Once
	draining  chan struct{}
	// reclaimNotice is the time that was left when a reclaim notice started the
	// drain; it is not positive for a planned stop.
	reclaimNotice time.Duration
}

// New opens the listener and builds all components. Nothing runs until Run is
// called.
func New(s *settings.Settings, logger *log.Logger) (*Daemon, error) {
	transport, err := newTransport(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	listener, err := listen(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	scope, metrics, closer := telemetry.NewScope()
	d := &Daemon{
		settings: s, logger: logger, scope: scope, metrics: metrics,
		closers: []io.Closer{closer}, listener: listener, httpClient: newPeerClient(transport), storeClient: newStoreClient(transport, scope),
		draining: make(chan struct{}),
	}
	d.transport = transport
	d.buildState()
	d.buildVersionMoves()
	d.buildUpstreamPaths()
	d.buildRequestPath()
	return d, nil
}

// buildState builds the components that hold configuration, membership, leases
// and intents.
func (d *Daemon) buildState() {
	s := d.settings
	d.peers = &peer.Client{Token: s.PeerToken, HTTP: d.httpClient}
	if s.TLSCert != "" {
		d.peers.Scheme = "https"
	}
	d.store = objectclient.New(objectclient.Options{
		Address: s.ObjectAPIAddress, HTTP: d.storeClient, Logger: d.logger, Scope: d.scope,
	})
	d.cache = configsync.NewCache()
	self := membership.Daemon{Name: s.Name, Address: s.Advertise, Domain: s.Domain, Region: s.Region}
	d.table = membership.NewTable(self, membership.Options{SubsetSize: s.SubsetSize, Scope: d.scope})
	d.syncer = configsync.NewSyncer(configsync.Options{
		Store: d.store, Cache: d.cache, Table: d.table, Peers: d.peers, Region: s.Region,
		PeerAddresses: s.Peers, InstanceListAddress: s.InstanceListAddress, CloudAddress: s.CloudAddress, HTTP: d.httpClient,
		Logger: d.logger, Scope: d.scope,
	})
	d.leases = lease.NewManager(lease.Options{
		Store: d.store, Holder: s.Name, Table: d.table, TTL: s.LeaseTTL, Logger: d.logger, Scope: d.scope,
	})
	d.intentLog = intent.NewLog(intent.Options{
		Store: d.store, Table: d.table, Peers: d.peers, Shards: s.IntentShards,
		Retention: s.IntentRetention, Logger: d.logger, Scope: d.scope,
	})
}

// buildVersionMoves builds the components that carry out version moves.
func (d *Daemon) buildVersionMoves() {
	d.movePeers = newMovePeers(d.table, d.peers, d.logger)
	d.moveGuard = rollout.NewGuard(rollout.GuardOptions{
		Daemon: d.settings.Name, StoreNow: d.store.Now, Peers: d.movePeers, Logger: d.logger, Scope: d.scope,
		Daemons: func() int { return 1 + len(d.table.Daemons()) },
	})
	d.movePeers.guard = d.moveGuard
	d.moveController = rollout.NewController(rollout.ControllerOptions{
		Store: d.store, Config: d.cache, Leases: d.leases, Guard: d.moveGuard, Peers: d.movePeers,
		Logger: d.logger, Scope: d.scope,
	})
}

// buildRequestPath builds the components that process callers' requests.
func (d *Daemon) buildRequestPath() {
	s := d.settings
	d.trackers = &routing.Trackers{}
	d.admission = admission.New(admission.Options{Scope: d.scope})
	d.engines = engineclient.New(&http.Client{Transport: d.upstreamTransport()})
	d.dispatcher = dispatch.New(dispatch.Options{
		Config: d.cache, Table: d.table, Admission: d.admission, Trackers: d.trackers,
		Moves: d.moveGuard, Evidence: dispatch.TableEvidenceRecorder{Table: d.table}, Scope: d.scope,
	})
	d.watcher = upstreamwatch.New(upstreamwatch.Options{
		Fetch: d.engines, Table: d.table, Trackers: d.trackers, Config: d.cache, Logger: d.logger, Scope: d.scope,
	})
	d.burn = burn.NewRecorder(burn.Options{Daemon: s.Name, LookupClass: d.classOf, Scope: d.scope})
	d.journal = journal.New(journal.Options{MaxBytes: s.MaxJournalBytes, Scope: d.scope})
	d.handoff = handoff.New(handoff.Options{
		Self: d.table.Self(), Members: d.table, Peers: d.peers, Journal: d.journal, Logger: d.logger, Scope: d.scope,
	})
	d.server = server.New(server.Options{
		Self: d.table.Self(), Config: d.cache, Members: membersWithSelf{d.table}, Chooser: d.dispatcher,
		Engine: server.EngineClient{Client: d.engines}, Journal: d.journal, Intents: d.intentLog,
		CallerBudget: callerbudget.New(s.MaxJournalBytes / callerShare),
		Handoff:      d.handoff,
		Transport:    d.upstreamTransport(), Forwarding: d.forwarding(d.transport),
		Observer: burnObserver{d.burn},
		Logger:   d.logger, Scope: d.scope, LogShare: s.LogRequestShare,
		MaxBodyBytes: s.MaxBodyBytes, MaxEventBytes: s.MaxEventBytes,
		AbandonGrace: s.AbandonGrace, EntryTTL: s.EntryTTL,
	})
	d.handoff.SetWorker(d.server)
}

// classOf returns the class in effect with the name, or nil.
func (d *Daemon) classOf(name string) *api.Class { return d.cache.Snapshot().Classes[name] }
