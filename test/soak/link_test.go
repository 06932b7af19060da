package soak

import (
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/tcplink"
)

// link is a simulated network in front of one server that records its faults.
type link struct {
	*tcplink.Link
	disturbances disturbances
}

// startLink starts a link to the address target. It is closed when the test ends.
func startLink(t testing.TB, target string) *link {
	l, err := tcplink.Start(target)
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return &link{Link: l}
}

func (l *link) address() string { return l.Address() }

func (l *link) setState(s tcplink.State) {
	l.disturbances.record()
	l.SetState(s)
}

func (l *link) resetConns() {
	l.disturbances.record()
	l.ResetConns()
}

func (l *link) silenceOpen() {
	l.disturbances.record()
	l.SilenceOpen()
}
