package handoff

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/client"
)

// TestClientNoticesNothing guards against a client library that loses or
// repeats events when the daemon it reads from is killed, or leaves.
func TestClientNoticesNothing(t *testing.T) {
	for name, fail := range map[string]func(n *node){
		"killed": (*node).kill,
		"left": func(n *node) {
			n.server.BeginDrain()
			n.manager.HandOver(t.Context(), time.Now().Add(10*time.Second))
			n.kill()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 4)
			caller, err := client.New(client.Options{
				Entries: []string{c.nodes[0].self.Address, c.nodes[1].self.Address, c.nodes[2].self.Address},
				Token:   callerToken, HTTP: c.client, Patience: 5 * time.Second, Backoff: time.Millisecond,
			})
			assert.NilError(t, err)
			s, err := caller.Stream(t.Context(), []byte(streamBody))
			assert.NilError(t, err)
			whole := make(chan *client.Response, 1)
			go func() {
				response, err := caller.Do(t.Context(), client.Request{
					Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(wholeBody), ID: "w",
				})
				assert.Check(t, err)
				whole <- response
			}()
			got := &stream{}
			for range 5 {
				e, err := s.Next()
				assert.NilError(t, err)
				got.take(e.Number, e.Data)
			}
			c.backupOf(s.RequestID())
			c.backupOf("w")
			for _, n := range c.nodes {
				if rec := n.journal.Get(s.RequestID()); rec != nil {
					fail(n)
					break
				}
			}
			for {
				e, err := s.Next()
				if errors.Is(err, io.EOF) {
					break
				}
				assert.NilError(t, err)
				assert.Assert(t, got.take(e.Number, e.Data))
			}
			assert.Equal(t, got.text, wantText())
			assert.Equal(t, contentOf(t, (<-whole).Body), wantText())
			assert.NilError(t, s.Close())
		})
	}
}
