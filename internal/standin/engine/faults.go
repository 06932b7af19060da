package engine

import "github.com/cespare/xxhash/v2"

// Faults are the injected faults of an Engine.
type Faults struct {
	// OnlyModel, OnlyVersion and MinLoad limit ErrorShare and SlowFactor to one
	// model, to one version, or to times at which at least MinLoad generations run
	// or wait.
	OnlyModel   string `json:"onlyModel"`
	OnlyVersion string `json:"onlyVersion"`
	MinLoad     int    `json:"aboveLoad"`
	// ErrorShare is the share of new requests that fail with status 500, from 0
	// to 1.
	ErrorShare float64 `json:"errorShare"`
	// SlowFactor multiplies the time that generations take, if it is above 1.
	SlowFactor float64 `json:"slowFactor"`
	// CrashRequest and CrashToken make the engine crash when the request with this
	// identifier has produced that many tokens. The fault stays set after a
	// crash, so that each attempt at the request crashes the engine that runs it.
	CrashRequest string `json:"crashRequest"`
	CrashToken   int    `json:"crashToken"`
	// CrashAfterTokens makes the engine crash once, after it has produced that many
	// further tokens.
	CrashAfterTokens int `json:"crashAfterTokens"`
	// SilentConnections stops all output on the connections that are open when it
	// is set. Connections that are opened later work.
	SilentConnections bool `json:"silentConnections"`
	// DuplicateShare and ReorderShare are the shares of events that are sent twice,
	// or after the event that follows them.
	DuplicateShare float64 `json:"duplicateShare"`
	ReorderShare   float64 `json:"reorderShare"`
	// CacheEventGapShare is the share of cache events that are lost.
	CacheEventGapShare float64 `json:"cacheEventGapShare"`
	// CacheEventLagMs and LoadLagMs are added to the configured lags.
	CacheEventLagMs int64 `json:"cacheEventLagMs"`
	LoadLagMs       int64 `json:"loadLagMs"`
	// LoseOrderAnswers is the number of further orders that take effect although the
	// connection is closed without a response. Each such order decrements it.
	LoseOrderAnswers int `json:"loseOrderAnswers"`
	// Draining makes the engine refuse new requests and report that it is shutting
	// down.
	Draining bool `json:"draining"`
}

// applies reports whether ErrorShare and SlowFactor apply to a generation of this
// model and version when load generations run or wait.
func (f *Faults) applies(model, version string, load int) bool {
	return (f.OnlyModel == "" || f.OnlyModel == model) &&
		(f.OnlyVersion == "" || f.OnlyVersion == version) && load > f.MinLoad-1
}

// isSelected reports whether a fault with this share applies to the event that
// parts identify. It decides by a hash of parts, so that the result for the same
// request is always the same.
func isSelected(share float64, parts ...string) bool {
	if share <= 0 {
		return false
	}
	digest := xxhash.New()
	for _, p := range parts {
		_, _ = digest.WriteString(p)
		_, _ = digest.Write([]byte{0})
	}
	return float64(splitmix64(digest.Sum64())>>11)/(1<<53) < share
}
