package server

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/dispatch"
	"rattantide/internal/intent"
	"rattantide/internal/journal"
	"rattantide/internal/membership"
	"rattantide/internal/telemetry"
)

// Options are the collaborators and limits of a Server. Zero limits take their
// defaults.
type Options struct {
	// Self is this daemon.
	Self    membership.Daemon
	Config  Config
	Members Members
	Chooser dispatch.Chooser
	Engine  Engine
	Journal *journal.Journal
	// Intents is needed for calls that must run at most once; without it they
	// are refused.
	Intents intent.Recorder
	// Handoff may be nil: records then live and end with this daemon.
	Handoff Handoff
	// Observer may be nil.
	Observer Observer

	Logger *log.Logger
	Scope  tally.Scope
	// LogShare is the share of successful requests that are logged, 0 to 1.
	LogShare float64

	// MaxBodyBytes bounds a caller's body. Default 8 MB.
	MaxBodyBytes int64
	// MaxHeaderValueBytes bounds a caller's header values that the server uses.
	// Default 1 KB.
	MaxHeaderValueBytes int
	// MaxEventBytes bounds one event of an engine. Default 64 KB.
	MaxEventBytes int
	// MaxRecordedBytes bounds the answer of an at-most-once call that is kept
	// for repetitions of its key. Default 16 KB.
	MaxRecordedBytes int

	// MaxAttempts bounds how many upstreams a request is tried on. Default 4.
	MaxAttempts int
	// MaxResumes bounds the resumptions at one engine without a new event.
	// Default 3.
	MaxResumes int
	// KVMoveTokens is from how many tokens on an answer that leaves an upstream
	// takes its KV cache along; fewer are computed again. Default 1024.
	KVMoveTokens int
	// ConnectTimeout bounds opening a connection to a plain service. Default 1s.
	ConnectTimeout time.Duration
	// FirstEvent is the longest wait for the first event of an attempt.
	// Default: three times the class's target, at least 1 s.
	FirstEvent time.Duration
	// NextEvent is the longest wait for any further event. Default: twenty
	// times the class's target, at least 1 s.
	NextEvent time.Duration
	// CallerWrite is the longest time a write to a caller may take; a caller
	// that reads more slowly can come back. Default 30s.
	CallerWrite time.Duration
	// AbandonGrace is how long a request without a caller goes on. Default 30s.
	AbandonGrace time.Duration
	// EntryTTL is how long callers may keep entries. Default 5s.
	EntryTTL time.Duration
	// Transport carries the calls to plain services. Default: one of the
	// server's own.
	Transport *http.Transport
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = telemetry.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	setDefault(&o.MaxBodyBytes, 8<<20)
	setDefault(&o.MaxHeaderValueBytes, 1<<10)
	setDefault(&o.MaxEventBytes, 64<<10)
	setDefault(&o.MaxRecordedBytes, 16<<10)
	setDefault(&o.MaxAttempts, 4)
	setDefault(&o.MaxResumes, 3)
	setDefault(&o.KVMoveTokens, 1024)
	setDefault(&o.ConnectTimeout, time.Second)
	setDefault(&o.CallerWrite, 30*time.Second)
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
