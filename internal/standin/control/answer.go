package control

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// JSON answers w with value.
func JSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// Error answers w with an error in the format of public model engines.
func Error(w http.ResponseWriter, status int, code, message string) {
	JSON(w, status, map[string]any{"error": map[string]any{"code": code, "message": message}})
}

// Draining refuses a call as not run because the upstream is leaving.
func Draining(w http.ResponseWriter) {
	w.Header().Set("X-Draining", "true")
	Error(w, http.StatusServiceUnavailable, "draining", "this upstream takes no new work")
}

// Abort closes the connection without an answer.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Wait waits for d and reports whether it passed before ctx ended.
func Wait(ctx context.Context, d time.Duration) bool {
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
