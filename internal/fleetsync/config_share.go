package fleetsync

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// ConfigPath is where a daemon answers others with its configuration.
	ConfigPath = "/configuration"
	// shareTimeout bounds the reading of another daemon's configuration; the store
	// is read after it, well within the time for which a change may be pending.
	shareTimeout = 600 * time.Millisecond
	// The headers of an answer: the store's revision of the configuration, and how
	// long ago it was confirmed as the newest one, in milliseconds.
	revisionHeader = "X-Config-Revision"
	ageHeader      = "X-Config-Age-Ms"
)

// Snapshot is the configuration as it is stored.
type Snapshot struct {
	// Revision is the store's revision of it.
	Revision int64
	Value    json.RawMessage
	// ConfirmedAt is when it was last known to be the newest one, on the boot
	// clock.
	ConfirmedAt time.Time
}

// ConfigHandler answers other daemons with the configuration that this one has. It
// implements http.Handler.
type ConfigHandler struct {
	// Source returns the configuration, or false without one.
	Source func() (Snapshot, bool)
	// BootNow is the clock that counts suspensions.
	BootNow func() time.Time

	mu sync.Mutex
	// packed is the compressed value of packedRevision: many daemons ask for the
	// same one at the same time.
	packed         []byte
	packedRevision int64
}

// ServeHTTP implements http.Handler.
func (h *ConfigHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	snapshot, ok := h.Source()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	packed, err := h.pack(snapshot)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Encoding", "gzip")
	header.Set("Content-Length", strconv.Itoa(len(packed)))
	header.Set(revisionHeader, strconv.FormatInt(snapshot.Revision, 10))
	header.Set(ageHeader, strconv.FormatInt(h.BootNow().Sub(snapshot.ConfirmedAt).Milliseconds(), 10))
	// A daemon that does not get the whole answer reads the store.
	_, _ = w.Write(packed)
}

func (h *ConfigHandler) pack(s Snapshot) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.packed != nil && h.packedRevision == s.Revision {
		return h.packed, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(s.Value); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	h.packed, h.packedRevision = b.Bytes(), s.Revision
	return h.packed, nil
}

// ConfigClient reads the configuration from other daemons. All fields are
// required.
type ConfigClient struct {
	HTTP *http.Client
	// MaxBytes bounds a configuration.
	MaxBytes int64
	// BootNow is the clock that counts suspensions.
	BootNow func() time.Time
}

// Fetch reads the configuration of the daemon at an address.
func (c *ConfigClient) Fetch(ctx context.Context, address string) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ConfigPath, nil)
	if err != nil {
		return Snapshot{}, errors.Trace(err)
	}
	sentAt := c.BootNow()
	answer, err := c.HTTP.Do(request)
	if err != nil {
		return Snapshot{}, errors.Trace(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return Snapshot{}, errors.Errorf("daemon at %s answered %d", address, answer.StatusCode)
	}
	revision, err := strconv.ParseInt(answer.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return Snapshot{}, errors.Annotate(err, "revision")
	}
	age, err := strconv.ParseInt(answer.Header.Get(ageHeader), 10, 64)
	if err != nil {
		return Snapshot{}, errors.Annotate(err, "age")
	}
	value, err := io.ReadAll(io.LimitReader(answer.Body, c.MaxBytes+1))
	if err != nil {
		return Snapshot{}, errors.Trace(err)
	}
	if int64(len(value)) > c.MaxBytes {
		return Snapshot{}, errors.Errorf("configuration exceeds %d bytes", c.MaxBytes)
	}
	// The age was taken after the question was sent.
	return Snapshot{Revision: revision, Value: value, ConfirmedAt: sentAt.Add(-time.Duration(age) * time.Millisecond)}, nil
}
