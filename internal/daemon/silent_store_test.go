package daemon

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"rattantide/internal/objectclient"
	"rattantide/internal/settings"
	"rattantide/internal/standin/objectapi"
	"rattantide/internal/standin/tcplink"
)

// Guards against reads of the object API that wait for one kept connection after the other,
// after all of them fell silent.
func TestStoreIsReadInTimeOverSilentConnections(t *testing.T) {
	// readTimeout is the time of one attempt of a read: a silent connection must cost less.
	const readTimeout = 2 * time.Second
	server := httptest.NewServer(objectapi.New(objectapi.Config{}))
	t.Cleanup(server.Close)
	link, err := tcplink.Start(server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	s, err := settings.Parse([]string{"-name", "d", "-domain", "zone-a", "-listen", "127.0.0.1:0", "-object-api", link.Address(), "-peer-token", "peer", "-operator-token", "operator", "-entry-ttl", "1s"}, io.Discard)
	assert.NilError(t, err)
	transport, err := newTransport(s)
	assert.NilError(t, err)
	store := objectclient.New(objectclient.Options{Address: s.ObjectAPIAddress, HTTP: newStoreClient(transport, tally.NoopScope), CallTimeout: readTimeout})
	read := func() error {
		_, err := store.List(t.Context(), "pools")
		return err
	}
	var warm errgroup.Group
	for range 8 {
		warm.Go(read)
	}
	assert.NilError(t, warm.Wait())
	link.SilenceOpen()
	start := time.Now()
	assert.NilError(t, read())
	took := time.Since(start)
	assert.Assert(t, took < readTimeout, "the read took %s", took)
}
