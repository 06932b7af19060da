package control

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
)

// maxControlBodyBytes limits the body of a control call.
const maxControlBodyBytes = 1 << 20

// Faults stores the current faults of a stand-in. It is an http.Handler, and all
// its methods are safe for concurrent use.
type Faults[T any] struct {
	mu       sync.Mutex
	value    T
	onChange func(before, after T)
}

// NewFaults returns a Faults with the zero value of T. It calls onChange, if not
// nil, after each Update, outside of its lock.
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

// Take calls take with the lock held and returns its result. It is for faults that
// are decremented at each use, and does not call onChange.
func (f *Faults[T]) Take(take func(*T) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return take(&f.value)
}

// ServeHTTP responds with the faults. On POST it first merges the fields of the
// body into them; fields that the body does not contain keep their value. On DELETE
// it first clears all faults.
func (f *Faults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		f.Update(func(value *T) { var none T; *value = none })
	case http.MethodPost:
		var body bytes.Buffer
		if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, maxControlBodyBytes)); err != nil {
			WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
			return
		}
		var decodeErr error
		f.Update(func(value *T) {
			next := *value
			decoder := json.NewDecoder(&body)
			decoder.DisallowUnknownFields()
			if decodeErr = decoder.Decode(&next); decodeErr == nil {
				*value = next
			}
		})
		if decodeErr != nil {
			WriteError(w, http.StatusBadRequest, "bad_request", decodeErr.Error())
			return
		}
	default:
		WriteError(w, http.StatusMethodNotAllowed, "bad_request", "use GET, POST or DELETE")
		return
	}
	WriteJSON(w, http.StatusOK, f.Get())
}
