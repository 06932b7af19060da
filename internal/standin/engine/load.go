package engine

import (
	"net/http"
	"time"

	"rattantide/internal/standin/control"
)

const (
	// minSampleInterval is the minimum time between load samples. A sample that
	// follows sooner replaces the previous one and takes over its time.
	minSampleInterval = 5 * time.Millisecond
	// maxSamples is the maximum number of samples that are retained; the oldest ones
	// are dropped first.
	maxSamples = 4096
)

// loadSample is the load of an engine at a time, and the body of a load report.
type loadSample struct {
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	KVUsedTokens  int    `json:"kvUsedTokens"`
	KVTotalTokens int    `json:"kvTotalTokens"`
	Version       string `json:"version"`
	Draining      bool   `json:"draining"`
	Seq           int64  `json:"seq"`
	AgeMs         int64  `json:"ageMs"`
	at            time.Time
}

// currentLoadLocked returns the load at now. The caller holds e.mu.
func (e *Engine) currentLoadLocked(now time.Time) loadSample {
	used := e.cache.tokens()
	for _, g := range e.batch {
		used += g.kvTokens()
	}
	return loadSample{
		Running: len(e.batch), Waiting: len(e.waiting), KVUsedTokens: min(used, e.config.KVTokens),
		KVTotalTokens: e.config.KVTokens, Version: e.orders.Version, Draining: e.faults.Get().Draining,
		Seq: e.loadSeq, at: now,
	}
}

// recordLoadLocked records the load at now for delayed reports. The caller holds
// e.mu.
func (e *Engine) recordLoadLocked(now time.Time) {
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].at) < minSampleInterval {
		at := e.samples[n-1].at
		e.samples[n-1] = e.currentLoadLocked(now)
		e.samples[n-1].at = at
		return
	}
	e.loadSeq++
	if len(e.samples) >= maxSamples {
		e.samples = append(e.samples[:0], e.samples[maxSamples/4:]...)
	}
	e.samples = append(e.samples, e.currentLoadLocked(now))
}

// serveLoad responds with the newest load report that is at least as old as the
// lag, or with the oldest one if all are more recent.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	lag := e.config.LoadLag + time.Duration(e.faults.Get().LoadLagMs)*time.Millisecond
	e.mu.Lock()
	now := time.Now()
	report := e.currentLoadLocked(now)
	if lag > 0 {
		report = loadSample{KVTotalTokens: e.config.KVTokens, Version: e.config.Version}
		for i := len(e.samples) - 1; i >= 0; i-- {
			report = e.samples[i]
			if now.Sub(report.at) >= lag {
				break
			}
		}
		report.AgeMs = lag.Milliseconds()
	}
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, report)
}
