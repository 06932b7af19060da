package settings

import (
	"time"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name identifies the daemon; it must be unique among live daemons.
	Name string
	// Listen is the address to listen on; port 0 selects a free port.
	Listen string
	// Advertise is the address that callers and peers connect to. Default: the
	// address that the daemon listens on.
	Advertise string
	// Domain is the failure domain of the instance.
	Domain string
	// Region is the region of the failure domain.
	Region string
	// ObjectAPIAddress, InstanceListAddress and CloudAddress are the platform's
	// addresses.
	ObjectAPIAddress    string
	InstanceListAddress string
	CloudAddress        string
	// Peers lists addresses of daemons to contact at startup, in addition to
	// those in the instance list. They allow a daemon to start while the platform
	// is unavailable.
	Peers []string
	// PeerToken and OperatorToken are the bearer tokens of daemons and operators.
	// Without an operator token, the administration API refuses every request.
	PeerToken     string
	OperatorToken string
	// TLSCert and TLSKey are the paths of PEM files with the certificate and the
	// private key. Both or neither must be set. If set, peers connect with HTTPS.
	TLSCert string
	TLSKey  string
	// TLSCA is the path of a PEM file with the CA certificates that verify the
	// certificates of peers. Default: those of the system.
	TLSCA string
	// AddressFile is the path of a file to write the listen address to, for
	// scripts that use port 0. Empty writes none.
	AddressFile string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// LogRequestShare is the share of successful requests that are logged, 0 to 1.
	// Failures are always logged.
	LogRequestShare float64
	// DrainLimit is the maximum time to wait for open requests at a planned stop.
	// Requests that are still open after it are handed off to other daemons.
	DrainLimit time.Duration
	// NoticeReserve is the time at the end of a reclaim notice that is reserved
	// for closing the last connections after the handoff.
	NoticeReserve time.Duration
	// MaxHeaderBytes limits the header of a caller's request.
	MaxHeaderBytes int
	// MaxBodyBytes limits the body of a caller's request.
	MaxBodyBytes int64
	// MaxEventBytes limits one event of an engine's stream.
	MaxEventBytes int
	// MaxObjectBytes limits an applied object. The object API accepts 1 MiB.
	MaxObjectBytes int64
	// MaxJournalBytes limits the total memory of all request records.
	MaxJournalBytes int64
	// AbandonGrace is how long a request continues after its caller has
	// disconnected.
	AbandonGrace time.Duration
	// EntryTTL is how long callers may cache the list of daemon addresses.
	EntryTTL time.Duration
	// IntentShards is the number of shards of at-most-once records. All daemons
	// must use the same number.
	IntentShards int
	// IntentRetention is how long an idempotency key is retained.
	IntentRetention time.Duration
	// LeaseTTL is the lifetime of a duty lease.
	LeaseTTL time.Duration
	// MaxProcs is the number of threads that run Go code concurrently; 0 uses the
	// default of the Go runtime. Relaying wakes a thread per token, and each
	// additional thread costs processor time: 17,100 events per second take 0.37
	// cores with 2 threads and 0.56 cores with 10. Default 2.
	MaxProcs int
	// SubsetSize is the maximum number of upstreams of a pool that the daemon
	// uses.
	SubsetSize int
}
