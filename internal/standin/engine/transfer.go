package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"rattantide/internal/standin/control"
)

// kvState is an exported generation.
type kvState struct {
	ID           string   `json:"id"`
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Key          uint64   `json:"key"`
	BodyHash     uint64   `json:"bodyHash"`
	Created      int64    `json:"created"`
	Priority     int      `json:"priority"`
	PromptTokens int      `json:"promptTokens"`
	Original     int      `json:"original"`
	PrefixTokens int      `json:"prefixTokens"`
	CachedTokens int      `json:"cachedTokens"`
	Produced     int      `json:"produced"`
	Total        int      `json:"total"`
	Limited      bool     `json:"limited"`
	Blocks       []uint64 `json:"blocks"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.generations[r.PathValue("id")]
	switch {
	case g == nil:
		e.mu.Unlock()
		control.Error(w, http.StatusNotFound, "unknown_request", "no generation under this identifier")
		return
	case !g.prompted || g.end == endFinished:
		e.mu.Unlock()
		control.Error(w, http.StatusConflict, "not_exportable", "the generation has no KV cache to export")
		return
	}
	if g.end == endNone {
		e.remove(g)
		e.finish(g, endExported, time.Now())
		e.sampleLocked(time.Now())
		e.signal()
	}
	state := kvState{
		ID: g.id, Model: g.model, Version: g.version, Key: g.key, BodyHash: g.bodyHash, Created: g.created,
		Priority: g.priority, PromptTokens: g.promptTokens, Original: g.original, PrefixTokens: g.prefixTokens,
		CachedTokens: g.cachedTokens, Produced: g.produced, Total: g.total, Limited: g.limited, Blocks: g.blocks,
	}
	tokens := g.kvTokens()
	e.mu.Unlock()
	if control.Wait(r.Context(), time.Duration(tokens)*e.config.TransferPerToken) {
		control.JSON(w, http.StatusOK, state)
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var state kvState
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&state); err != nil {
		control.Error(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	g := &generation{
		id: state.ID, model: state.Model, version: state.Version, key: state.Key, bodyHash: state.BodyHash,
		created: state.Created, priority: state.Priority, promptTokens: state.PromptTokens,
		original: state.Original, prefixTokens: state.PrefixTokens, cachedTokens: state.CachedTokens, produced: state.Produced,
		total: state.Total, limited: state.Limited, blocks: state.Blocks, prompted: true,
	}
	if !validID(g.id) || g.produced > g.total || g.total > maxAnswer {
		control.Error(w, http.StatusBadRequest, "bad_request", "not an exported generation")
		return
	}
	if e.faults.Get().Draining {
		control.Draining(w)
		return
	}
	if !control.Wait(r.Context(), time.Duration(g.kvTokens())*e.config.TransferPerToken) {
		return
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case g.version != e.orders.Version:
		control.Error(w, http.StatusConflict, "version_mismatch", "the KV cache belongs to another version")
		return
	case g.kvReserve() > e.config.KVTokens || len(e.waiting) >= e.config.MaxWaiting:
		control.Error(w, http.StatusTooManyRequests, "queue_full", "no memory for this generation")
		return
	case e.generations[g.id] != nil && e.generations[g.id].end == endNone:
		control.Error(w, http.StatusConflict, "request_running", "the generation runs here already")
		return
	}
	e.generations[g.id] = g
	e.enqueue(g)
	e.expireLater(g, now)
	e.log.Add(control.Entry{
		Event: "import", RequestID: g.id, Model: g.model, Version: g.version, Tokens: g.produced, PromptTokens: g.promptTokens,
	})
	control.JSON(w, http.StatusOK, map[string]any{"id": g.id, "tokens": g.produced})
}
