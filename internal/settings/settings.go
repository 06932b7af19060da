package settings

import (
	"time"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name identifies the daemon; it must be unique among live daemons.
	Name string
	// Listen is the address to listen on; port 0 takes a free port.
	Listen string
	// Advertise is the address that callers and peers use. Default: the
	// address that is listened on.
	Advertise string
	// Domain is the failure domain of the instance.
	Domain string
	// Region is the region of the failure domain.
	Region string
	// ObjectAPI, InstanceList and Cloud are the platform's addresses.
	ObjectAPI    string
	InstanceList string
	Cloud        string
	// Peers are addresses of daemons to ask at the start, beside those that
	// the instance list names. They make a start possible in an outage.
	Peers []string
	// PeerToken and OperatorToken are bearer tokens. Without an operator token
	// the administration API refuses every call.
	PeerToken     string
	OperatorToken string
	// TLSCert and TLSKey name PEM files; both or neither. Peers then use https.
	TLSCert string
	TLSKey  string
	// TLSCA names a PEM file with the authorities that peers' certificates are
	// checked against. Default: the system's.
	TLSCA string
	// AddressFile, when set, receives the address that is listened on, for
	// scripts that let the daemon choose a port.
	AddressFile string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// LogRequests is the share of successful requests that are logged, 0 to 1.
	// Failures are always logged.
	LogRequests float64
	// DrainLimit bounds the wait for open requests at a planned stop; what is
	// still open then is handed off.
	DrainLimit time.Duration
	// NoticeReserve is kept from a reclaim notice for the last connections to
	// close after the handoff.
	NoticeReserve time.Duration
	// MaxHeaderBytes bounds the header of a caller's request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	// MaxEventBytes bounds one event of an engine's stream.
	MaxEventBytes int
	// MaxObjectBytes bounds an applied object. The object API takes 1 MB.
	MaxObjectBytes int64
	// MaxJournalBytes bounds the memory of all request records together.
	MaxJournalBytes int64
	// AbandonGrace is how long a request whose caller is gone is kept.
	AbandonGrace time.Duration
	// EntryTTL is how long callers may keep the list of addresses.
	EntryTTL time.Duration
	// IntentShards is the number of shards of at-most-once records. All daemons
	// must use the same number.
	IntentShards int
	// IntentRetention is how long an idempotency key is remembered.
	IntentRetention time.Duration
	// LeaseTTL is the lifetime of a duty lease.
	LeaseTTL time.Duration
	// MaxProcs is the number of threads that run Go code at a time; 0 leaves it
	// to the runtime. Relaying wakes a thread per token, and each further thread
	// costs processor time: 17,100 events per second take 0.37 cores with 2
	// threads and 0.56 with 10. Default 2.
	MaxProcs int
	// SubsetSize bounds the upstreams of a pool that the daemon works with.
	SubsetSize int
}
