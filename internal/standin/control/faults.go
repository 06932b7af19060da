package control

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
)

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 1 << 20

// Faults holds the switched faults of a stand-in. All methods are safe for
// concurrent use.
type Faults[T any] struct {
	mu       sync.Mutex
	value    T
	onChange func(before, after T)
}

// NewFaults returns faults that call onChange, when not nil, after each change.
func NewFaults[T any](onChange func(before, after T)) *Faults[T] {
	return &Faults[T]{onChange: onChange}
}

// Get returns a copy of the faults.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Update changes the faults. The change is visible to Get before onChange runs.
func (f *Faults[T]) Update(change func(*T)) {
	f.mu.Lock()
	before := f.value
	change(&f.value)
	after := f.value
	f.mu.Unlock()
	if f.onChange != nil {
		f.onChange(before, after)
	}
}

// Take runs take under the lock and returns its result. It serves faults that
// are counted down.
func (f *Faults[T]) Take(take func(*T) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return take(&f.value)
}

// ServeHTTP shows the faults on GET. On POST it merges the fields of the body
// into them; fields that are not named keep their value. DELETE clears all.
func (f *Faults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		f.Update(func(value *T) { var none T; *value = none })
	case http.MethodPost:
		var body bytes.Buffer
		if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, maxControlBytes)); err != nil {
			Error(w, http.StatusBadRequest, "bad_request", err.Error())
			return
		}
		var failed error
		f.Update(func(value *T) {
			next := *value
			decoder := json.NewDecoder(&body)
			decoder.DisallowUnknownFields()
			if failed = decoder.Decode(&next); failed == nil {
				*value = next
			}
		})
		if failed != nil {
			Error(w, http.StatusBadRequest, "bad_request", failed.Error())
			return
		}
	default:
		Error(w, http.StatusMethodNotAllowed, "bad_request", "use GET, POST or DELETE")
		return
	}
	JSON(w, http.StatusOK, f.Get())
}
