package soak

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"rattantide/internal/fleetdaemon"
)

// clockFile names the environment variable with the file that holds by how many
// milliseconds a daemon's time of day is off. A process with it is a daemon.
const clockFile = "SOAK_CLOCK_FILE"

// TestMain runs a daemon whose time of day a test moves, as the daemon's program
// with the machine's own clock can't be given another, or else the tests.
func TestMain(m *testing.M) {
	if file := os.Getenv(clockFile); file != "" {
		os.Exit(fleetdaemon.Execute(func() time.Time { return time.Now().Add(clockOffset(file)) }))
	}
	os.Exit(m.Run())
}

func clockOffset(file string) time.Duration {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	ms, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// setClock moves the node's time of day.
func (n *node) setClock(offset time.Duration) error {
	next := n.clock + ".next"
	if err := os.WriteFile(next, []byte(strconv.FormatInt(offset.Milliseconds(), 10)), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.clock)
}
