package control

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// WriteJSON responds with a status and value encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// WriteError responds with an error in the format of public model engines.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, map[string]any{"error": map[string]any{"code": code, "message": message}})
}

// WriteDraining refuses a call, which has not been executed, because the upstream
// is shutting down.
func WriteDraining(w http.ResponseWriter) {
	w.Header().Set("X-Draining", "true")
	WriteError(w, http.StatusServiceUnavailable, "draining", "this upstream takes no new work")
}

// AbortConnection closes the connection of the current call without completing the
// response. It panics with http.ErrAbortHandler.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}

// Sleep waits for d and reports whether d elapsed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
