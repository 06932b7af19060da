package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"rattantide/internal/standin/control"
)

// kvState is the state of an exported generation, in the form in which engines transfer
// it.
type kvState struct {
	ID                   string   `json:"id"`
	Model                string   `json:"model"`
	Version              string   `json:"version"`
	Key                  uint64   `json:"key"`
	BodyHash             uint64   `json:"bodyHash"`
	Created              int64    `json:"created"`
	Priority             int      `json:"priority"`
	PromptTokens         int      `json:"promptTokens"`
	OriginalPromptTokens int      `json:"original"`
	PrefixTokens         int      `json:"prefixTokens"`
	CachedTokens         int      `json:"cachedTokens"`
	Produced             int      `json:"produced"`
	Total                int      `json:"total"`
	HasTokenLimit        bool     `json:"limited"`
	Blocks               []uint64 `json:"blocks"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.generations[r.PathValue("id")]
	switch {
	case g == nil:
		e.mu.Unlock()
		control.WriteError(w, http.StatusNotFound, "unknown_request", "no generation under this identifier")
		return
	case !g.isPrefilled || g.end == endFinished:
		e.mu.Unlock()
		control.WriteError(w, http.StatusConflict, "not_exportable", "the generation has no KV cache to export")
		return
	}
	if g.end == endNone {
		e.remove(g)
		e.finish(g, endExported, time.Now())
		e.recordLoadLocked(time.Now())
		e.wakeScheduler()
	}
	state := kvState{
		ID: g.id, Model: g.model, Version: g.version, Key: g.key, BodyHash: g.bodyHash, Created: g.created,
		Priority: g.priority, PromptTokens: g.promptTokens, OriginalPromptTokens: g.originalPromptTokens, PrefixTokens: g.prefixTokens,
		CachedTokens: g.cachedTokens, Produced: g.produced, Total: g.total, HasTokenLimit: g.hasTokenLimit, Blocks: g.blocks,
	}
	tokens := g.kvTokens()
	e.mu.Unlock()
	if control.Sleep(r.Context(), time.Duration(tokens)*e.config.TransferPerToken) {
		control.WriteJSON(w, http.StatusOK, state)
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var state kvState
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&state); err != nil {
		control.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	g := &generation{
		id: state.ID, model: state.Model, version: state.Version, key: state.Key, bodyHash: state.BodyHash,
		created: state.Created, priority: state.Priority, promptTokens: state.PromptTokens,
		originalPromptTokens: state.OriginalPromptTokens, prefixTokens: state.PrefixTokens, cachedTokens: state.CachedTokens, produced: state.Produced,
		total: state.Total, hasTokenLimit: state.HasTokenLimit, blocks: state.Blocks, isPrefilled: true,
	}
	if !validID(g.id) || g.produced > g.total || g.total > maxAnswerTokens {
		control.WriteError(w, http.StatusBadRequest, "bad_request", "not an exported generation")
		return
	}
	if e.faults.Get().Draining {
		control.WriteDraining(w)
		return
	}
	if !control.Sleep(r.Context(), time.Duration(g.kvTokens())*e.config.TransferPerToken) {
		return
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case g.version != e.orders.Version:
		control.WriteError(w, http.StatusConflict, "version_mismatch", "the KV cache belongs to another version")
		return
	case g.maxKVTokens() > e.config.KVTokens || len(e.waiting) >= e.config.MaxWaiting:
		control.WriteError(w, http.StatusTooManyRequests, "queue_full", "no memory for this generation")
		return
	case e.generations[g.id] != nil && e.generations[g.id].end == endNone:
		control.WriteError(w, http.StatusConflict, "request_running", "the generation runs here already")
		return
	}
	e.generations[g.id] = g
	e.enqueue(g)
	e.scheduleExpiry(g, now)
	e.log.Add(control.Entry{
		Event: "import", RequestID: g.id, Model: g.model, Version: g.version, Tokens: g.produced, PromptTokens: g.promptTokens,
	})
	control.WriteJSON(w, http.StatusOK, map[string]any{"id": g.id, "tokens": g.produced})
}
