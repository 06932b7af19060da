package engine

import "github.com/cespare/xxhash/v2"

// Faults are the switchable faults of an Engine.
type Faults struct {
	// OnlyModel, OnlyVersion and AboveLoad limit ErrorShare and SlowFactor to
	// one model, one version, or to times with more than AboveLoad generations
	// running and waiting.
	OnlyModel   string `json:"onlyModel"`
	OnlyVersion string `json:"onlyVersion"`
	AboveLoad   int    `json:"aboveLoad"`
	// ErrorShare is the share of new requests that are answered with 500.
	ErrorShare float64 `json:"errorShare"`
	// SlowFactor above 1 slows generations down.
	SlowFactor float64 `json:"slowFactor"`
	// CrashRequest and CrashToken crash the engine when the request has
	// produced that many tokens. It stays switched on, so that the request
	// crashes each engine it is tried on.
	CrashRequest string `json:"crashRequest"`
	CrashToken   int    `json:"crashToken"`
	// CrashAfterTokens crashes the engine once after that many further tokens.
	CrashAfterTokens int `json:"crashAfterTokens"`
	// SilentConnections makes the connections that are open when it is set
	// never send another byte; connections opened later work.
	SilentConnections bool `json:"silentConnections"`
	// DuplicateShare and ReorderShare are the shares of events that are sent
	// twice, or after their successor.
	DuplicateShare float64 `json:"duplicateShare"`
	ReorderShare   float64 `json:"reorderShare"`
	// CacheEventGapShare is the share of cache events that are lost.
	CacheEventGapShare float64 `json:"cacheEventGapShare"`
	// CacheEventLagMs and LoadLagMs add to the configured lags.
	CacheEventLagMs int64 `json:"cacheEventLagMs"`
	LoadLagMs       int64 `json:"loadLagMs"`
	// LoseOrderAnswers counts down: the next orders take effect, but the
	// connection is closed without an answer.
	LoseOrderAnswers int `json:"loseOrderAnswers"`
	// Draining refuses new work and announces that the engine is leaving.
	Draining bool `json:"draining"`
}

// applies reports whether the limited faults apply to a generation at a load.
func (f *Faults) applies(model, version string, load int) bool {
	return (f.OnlyModel == "" || f.OnlyModel == model) &&
		(f.OnlyVersion == "" || f.OnlyVersion == version) && load > f.AboveLoad-1
}

// hits decides by a hash, so that the same request always meets the same fate.
func hits(share float64, parts ...string) bool {
	if share <= 0 {
		return false
	}
	digest := xxhash.New()
	for _, p := range parts {
		_, _ = digest.WriteString(p)
		_, _ = digest.Write([]byte{0})
	}
	return float64(mix(digest.Sum64())>>11)/(1<<53) < share
}
