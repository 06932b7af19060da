package server

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/callerbudget"
	"rattantide/internal/dispatch"
	"rattantide/internal/intent"
	"rattantide/internal/journal"
	"rattantide/internal/membership"
	"rattantide/internal/telemetry"
)

// defaultCallerBytes is the limit of the budget for callers if none is given.
const defaultCallerBytes = 64 << 20

// Options are the collaborators and limits of a Server. Config, Members, Chooser,
// Engine and Journal are required; Logger and Scope may be nil. A limit that is
// zero or negative takes its default.
type Options struct {
	// Self is this daemon.
	Self    membership.Daemon
	Config  Config
	Members Members
	Chooser dispatch.Chooser
	Engine  Engine
	Journal *journal.Journal
	// Intents records the intents of calls that must run at most once. If nil,
	// these calls are refused.
	Intents intent.Recorder
	// Handoff may be nil. Records then have no backup and are lost with this
	// daemon.
	Handoff Handoff
	// Forwarding is how requests reach daemons that reach the upstreams. If nil, they are
	// served here or not at all.
	Forwarding *Forwarding
	// Observer receives ended requests. It may be nil.
	Observer Observer

	Logger *log.Logger
	Scope  tally.Scope
	// LogShare is the fraction of successful requests that are logged, 0 to 1.
	LogShare float64

	// CallerBudget bounds what the requests of callers hold until they are accepted. Default:
	// a budget of 64 MiB.
	CallerBudget *callerbudget.Budget

	// MaxBodyBytes bounds a caller's body. Default 8 MiB.
	MaxBodyBytes int64
	// MaxHeaderValueBytes bounds the Authorization header of a caller. Default
	// 1 KiB.
	MaxHeaderValueBytes int
	// MaxEventBytes bounds one event of an engine's stream. Default 64 KiB.
	MaxEventBytes int
	// MaxRecordedBytes bounds how much of the body of an answer to an at-most-once
	// call is recorded for replay when the key is repeated. A longer answer cannot
	// be replayed. Default 16 KiB.
	MaxRecordedBytes int

	// MaxAttempts is the largest number of upstreams that a request is tried on.
	// Default 4.
	MaxAttempts int
	// MaxResumes is the largest number of consecutive resumptions at one engine
	// that yield no new event. Default 3.
	MaxResumes int
	// MinKVMoveTokens is the least total number of tokens in prompt and answer for
	// which a migration transfers the KV cache. For shorter ones the new engine
	// recomputes it. Default 1024.
	MinKVMoveTokens int
	// ConnectTimeout bounds the time to open a connection to a plain service or
	// to another daemon. It is not used if Transport is set. Default 1 s.
	ConnectTimeout time.Duration
	// FirstEventTimeout is the longest wait for the first event of an attempt, or
	// for the response header of a plain service. Default: three times the
	// larger of the class's targets for the first token and the answer, at least
	// 1 s.
	FirstEventTimeout time.Duration
	// NextEventTimeout is the longest wait for each further event. Default:
	// twenty times the class's target between tokens, at least 1 s.
	NextEventTimeout time.Duration
	// CallerWriteTimeout bounds a write to a caller. A caller that reads more
	// slowly is disconnected and can resume. Default 30 s.
	CallerWriteTimeout time.Duration
	// AbandonGrace is how long a request continues without a caller before it is
	// cancelled. Default 30 s.
	AbandonGrace time.Duration
	// EntryTTL is how long callers may cache entries. Default 5 s.
	EntryTTL time.Duration
	// Transport is used for the calls to plain services and to other daemons.
	// Default: a new transport with ConnectTimeout.
	Transport *http.Transport
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = telemetry.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.CallerBudget == nil {
		o.CallerBudget = callerbudget.New(defaultCallerBytes)
	}
	setDefault(&o.MaxBodyBytes, 8<<20)
	setDefault(&o.MaxHeaderValueBytes, 1<<10)
	setDefault(&o.MaxEventBytes, 64<<10)
	setDefault(&o.MaxRecordedBytes, 16<<10)
	setDefault(&o.MaxAttempts, 4)
	setDefault(&o.MaxResumes, 3)
	setDefault(&o.MinKVMoveTokens, 1024)
	setDefault(&o.ConnectTimeout, time.Second)
	setDefault(&o.CallerWriteTimeout, 30*time.Second)
	setDefault(&o.AbandonGrace, 30*time.Second)
	setDefault(&o.EntryTTL, 5*time.Second)
	if o.Transport == nil {
		o.Transport = newTransport(o.ConnectTimeout)
	}
	return o
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
