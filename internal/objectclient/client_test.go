package objectclient_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/objectclient"
	"rattantide/internal/standin/objectapi"
)

func newClient(t *testing.T, handler http.Handler, configure func(*objectclient.Options)) *objectclient.Client {
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	options := objectclient.Options{Address: server.Listener.Addr().String()}
	if configure != nil {
		configure(&options)
	}
	return objectclient.New(options)
}

var value = json.RawMessage(`{"n": 1}`)

// TestPutAfterLostResponse guards against a write that took effect but is reported as
// failed because its response was lost, and against a write that takes effect later
// although it was reported as having no effect.
func TestPutAfterLostResponse(t *testing.T) {
	api := objectapi.New(objectapi.Config{})
	client := newClient(t, api, nil)
	ctx := t.Context()
	api.Faults().Update(func(f *objectapi.Faults) { f.LoseAnswers = 1 })
	first, err := client.Put(ctx, "k", "n", objectclient.MustNotExist, value)
	assert.NilError(t, err)

	api.Faults().Update(func(f *objectapi.Faults) { f.LateWrites, f.LateMs = 1, 200 })
	_, err = client.Put(ctx, "k", "n", first.Version, json.RawMessage(`{"n":2}`))
	assert.ErrorIs(t, err, objectclient.ErrUnavailable)
	for current := first; current.Version == first.Version; {
		current, err = client.Get(ctx, "k", "n")
		assert.NilError(t, err)
	}
}

// TestPutConflict guards against a conflict that is reported as an outage, and against
// a conflict without the current object.
func TestPutConflict(t *testing.T) {
	client := newClient(t, objectapi.New(objectapi.Config{}), nil)
	ctx := t.Context()
	first, err := client.Put(ctx, "k", "a/b c", objectclient.MustNotExist, value)
	assert.NilError(t, err)
	second, err := client.Put(ctx, "k", "a/b c", objectclient.AnyVersion, json.RawMessage(`{"n":2}`))
	assert.NilError(t, err)
	current, err := client.Put(ctx, "k", "a/b c", first.Version, value)
	assert.ErrorIs(t, err, objectclient.ErrConflict)
	assert.Equal(t, current.Version, second.Version)
	assert.ErrorIs(t, client.Delete(ctx, "k", "a/b c", first.Version), objectclient.ErrConflict)
	assert.NilError(t, client.Delete(ctx, "k", "a/b c", second.Version))
	_, err = client.Get(ctx, "k", "a/b c")
	assert.ErrorIs(t, err, objectclient.ErrNotFound)
	_, err = client.Put(ctx, "k", "big", objectclient.AnyVersion, make([]byte, 1<<20+1))
	assert.ErrorIs(t, err, objectclient.ErrTooLarge)
}

// TestReadsRetryWithinBounds guards against reads that ignore the retry delay of a
// rate-limited store, against a read that fails although the store recovers within the
// retries, and against a write that is sent more than once.
func TestReadsRetryWithinBounds(t *testing.T) {
	calls := 0
	var callTimes []time.Time
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		callTimes = append(callTimes, time.Now())
		switch calls++; calls {
		case 1:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			_, _ = w.Write([]byte(`{"kind":"k","name":"n","version":7}`))
		}
	}), nil)
	o, err := client.Get(t.Context(), "k", "n")
	assert.NilError(t, err)
	assert.Equal(t, o.Version, objectclient.Revision(7))
	assert.Equal(t, calls, 3)
	assert.Assert(t, callTimes[1].Sub(callTimes[0]) > callTimes[2].Sub(callTimes[1]), "the announced delay exceeds the first backoff")

	calls = 0
	down := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.WriteHeader(http.StatusServiceUnavailable)
	}), nil)
	_, err = down.Get(t.Context(), "k", "n")
	assert.ErrorIs(t, err, objectclient.ErrUnavailable)
	assert.Equal(t, calls, 4)
	calls = 0
	_, err = down.Put(t.Context(), "k", "n", 1, value)
	assert.ErrorIs(t, err, objectclient.ErrUnavailable)
	assert.Equal(t, calls, 5, "a write is sent once and read back")
}

// TestWatch guards against a watch that misses events, ignores an error of its
// callback, or does not report a compacted revision.
func TestWatch(t *testing.T) {
	api := objectapi.New(objectapi.Config{})
	client := newClient(t, api, nil)
	ctx := t.Context()
	_, err := client.Put(ctx, "k", "n", objectclient.AnyVersion, value)
	assert.NilError(t, err)
	_, err = client.Put(ctx, "other", "n", objectclient.AnyVersion, value)
	assert.NilError(t, err)
	assert.NilError(t, client.Delete(ctx, "k", "n", objectclient.AnyVersion))
	stop := errors.ConstError("stop the watch")
	var eventTypes []objectclient.EventType
	err = client.Watch(ctx, 0, []string{"k"}, func(e objectclient.Event) error {
		eventTypes = append(eventTypes, e.Type)
		if len(eventTypes) == 3 {
			return stop
		}
		return nil
	})
	assert.ErrorIs(t, err, stop)
	assert.DeepEqual(t, eventTypes, []objectclient.EventType{objectclient.EventPut, objectclient.EventDelete, objectclient.EventBookmark})
	api.Compact(0)
	err = client.Watch(ctx, 0, []string{"k"}, func(objectclient.Event) error { return nil })
	assert.ErrorIs(t, err, objectclient.ErrCompacted)
	_, isKnown := client.Now()
	assert.Assert(t, isKnown)
}

// TestIdleWatchEnds guards against a watch that hangs forever on a dead connection.
func TestIdleWatchEnds(t *testing.T) {
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}), func(o *objectclient.Options) { o.WatchIdleTimeout = 50 * time.Millisecond })
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	err := client.Watch(ctx, 0, nil, func(objectclient.Event) error { return nil })
	assert.ErrorIs(t, err, objectclient.ErrUnavailable)
}
