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

	"rattantide/internal/objectclient"
)

const (
	// ConfigPath is the path at which a daemon serves its configuration to other
	// daemons.
	ConfigPath = "/configuration"
	// fetchTimeout bounds a fetch of another daemon's configuration. It leaves
	// enough time to read the store after a failed fetch, before a change must be
	// in effect.
	fetchTimeout = 600 * time.Millisecond
	// Response headers: the store revision of the configuration, and the time since
	// it was last confirmed as the newest one, in milliseconds.
	revisionHeader = "X-Config-Revision"
	ageHeader      = "X-Config-Age-Ms"
)

// Snapshot is a stored configuration.
type Snapshot struct {
	// Revision is the store revision of the configuration, and Value its encoding.
	Revision objectclient.Revision
	Value    json.RawMessage
	// ConfirmedAt is the latest time at which the configuration is known to have
	// been the newest one, on the boot clock.
	ConfirmedAt time.Time
}

// ConfigHandler serves this daemon's configuration to other daemons. It implements
// http.Handler. Source and BootNow are required.
type ConfigHandler struct {
	// Source returns the configuration, or false if there is none.
	Source func() (Snapshot, bool)
	// BootNow is the boot clock, which also advances while the machine is
	// suspended.
	BootNow func() time.Time

	mu sync.Mutex
	// compressed is the compressed value of compressedRevision. It is cached as
	// many daemons request the same revision at the same time.
	compressed         []byte
	compressedRevision objectclient.Revision
}

// ServeHTTP implements http.Handler.
func (h *ConfigHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	snapshot, ok := h.Source()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	compressed, err := h.compress(snapshot)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Encoding", "gzip")
	header.Set("Content-Length", strconv.Itoa(len(compressed)))
	header.Set(revisionHeader, strconv.FormatInt(int64(snapshot.Revision), 10))
	header.Set(ageHeader, strconv.FormatInt(h.BootNow().Sub(snapshot.ConfirmedAt).Milliseconds(), 10))
	// A daemon that does not receive the whole response reads the store instead.
	_, _ = w.Write(compressed)
}

func (h *ConfigHandler) compress(s Snapshot) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.compressed != nil && h.compressedRevision == s.Revision {
		return h.compressed, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(s.Value); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	h.compressed, h.compressedRevision = b.Bytes(), s.Revision
	return h.compressed, nil
}

// ConfigClient fetches the configuration from other daemons. All fields are
// required.
type ConfigClient struct {
	HTTP *http.Client
	// MaxBytes is the maximum size of a decompressed configuration.
	MaxBytes int64
	// BootNow is the boot clock, which also advances while the machine is
	// suspended.
	BootNow func() time.Time
}

// Fetch returns the configuration of the daemon at an address.
func (c *ConfigClient) Fetch(ctx context.Context, address string) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ConfigPath, nil)
	if err != nil {
		return Snapshot{}, errors.Trace(err)
	}
	sentAt := c.BootNow()
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Snapshot{}, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Snapshot{}, errors.Errorf("daemon at %s responded with status %d", address, response.StatusCode)
	}
	revision, err := strconv.ParseInt(response.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return Snapshot{}, errors.Annotate(err, "revision")
	}
	age, err := strconv.ParseInt(response.Header.Get(ageHeader), 10, 64)
	if err != nil {
		return Snapshot{}, errors.Annotate(err, "age")
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, c.MaxBytes+1))
	if err != nil {
		return Snapshot{}, errors.Trace(err)
	}
	if int64(len(value)) > c.MaxBytes {
		return Snapshot{}, errors.Errorf("configuration exceeds %d bytes", c.MaxBytes)
	}
	// The daemon computed the age after the request was sent, so the configuration
	// was confirmed at this time or later.
	return Snapshot{Revision: objectclient.Revision(revision), Value: value, ConfirmedAt: sentAt.Add(-time.Duration(age) * time.Millisecond)}, nil
}
