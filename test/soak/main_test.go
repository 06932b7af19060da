package soak

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"rattantide/internal/fleetdaemon"
)

// clockFileEnv is the environment variable with the path of the file that holds the
// offset of a daemon's wall clock in milliseconds. The test binary runs as a daemon
// if it is set.
const clockFileEnv = "SOAK_CLOCK_FILE"

// TestMain runs the tests, or, if clockFileEnv is set, a daemon with a shifted wall
// clock. The regular program always uses the machine's clock, so the test binary
// serves as the daemon instead.
func TestMain(m *testing.M) {
	if path := os.Getenv(clockFileEnv); path != "" {
		os.Exit(fleetdaemon.Execute(func() time.Time { return time.Now().Add(clockOffset(path)) }))
	}
	os.Exit(m.Run())
}

// clockOffset reads the offset from a file. A missing or malformed file counts as
// no offset.
func clockOffset(path string) time.Duration {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	ms, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// setClock shifts the node's wall clock by offset. The file is replaced atomically,
// because the daemon reads it at any time.
func (n *node) setClock(offset time.Duration) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := n.clockPath + ".next"
	if err := os.WriteFile(next, []byte(strconv.FormatInt(offset.Milliseconds(), 10)), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.clockPath)
}
