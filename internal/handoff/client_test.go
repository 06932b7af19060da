package handoff

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/client"
	"rattantide/internal/membership"
)

// TestClientSurvivesLossOfItsDaemon guards against a client library that loses
// or repeats events when the daemon that it reads from is killed or leaves.
func TestClientSurvivesLossOfItsDaemon(t *testing.T) {
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
				Token:   callerToken, HTTP: c.client, IdleTimeout: 5 * time.Second, Backoff: time.Millisecond,
			})
			assert.NilError(t, err)
			s, err := caller.Stream(t.Context(), []byte(streamBody))
			assert.NilError(t, err)
			responses := make(chan *client.Response, 1)
			go func() {
				response, err := caller.Do(t.Context(), client.Request{
					Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(nonStreamBody), ID: "w",
				})
				assert.Check(t, err)
				responses <- response
			}()
			received := &stream{}
			for range 5 {
				e, err := s.Next()
				assert.NilError(t, err)
				received.accept(e.Number, e.Data)
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
				assert.Assert(t, received.accept(e.Number, e.Data))
			}
			assert.Equal(t, received.text, wantText())
			assert.Equal(t, contentOf(t, (<-responses).Body), wantText())
			assert.NilError(t, s.Close())
		})
	}
}

// TestConcurrentLossOfDaemons guards against answers that are lost or mixed up,
// and records that two daemons hold, when one daemon is killed while others
// hand their records over.
func TestConcurrentLossOfDaemons(t *testing.T) {
	c := newCluster(t, 6)
	caller, err := client.New(client.Options{
		Entries: []string{c.nodes[0].self.Address, c.nodes[1].self.Address, c.nodes[5].self.Address},
		Token:   callerToken, HTTP: c.client, IdleTimeout: 10 * time.Second, Backoff: 5 * time.Millisecond, Attempts: 40,
	})
	assert.NilError(t, err)
	const streams = 40
	var group sync.WaitGroup
	started := make(chan string, streams)
	for range streams {
		group.Go(func() {
			s, err := caller.Stream(t.Context(), []byte(streamBody))
			if !assert.Check(t, err) {
				started <- ""
				return
			}
			defer func() { _ = s.Close() }()
			received := &stream{}
			for {
				e, err := s.Next()
				if errors.Is(err, io.EOF) {
					break
				}
				if !assert.Check(t, err) || !assert.Check(t, received.accept(e.Number, e.Data)) {
					break
				}
				if e.Number == 3 {
					started <- s.RequestID()
				}
			}
			assert.Check(t, received.text == wantText(), "%s: %d events", s.RequestID(), received.last)
		})
	}
	for range streams {
		c.backupOf(<-started)
	}
	removeFromView := func(n *node) {
		c.view.update(func(d []membership.Daemon) []membership.Daemon {
			remaining := d[:0:0]
			for _, other := range d {
				if other.Name != n.self.Name {
					remaining = append(remaining, other)
				}
			}
			return remaining
		})
	}
	group.Go(func() { c.nodes[0].kill() })
	for _, n := range c.nodes[1:3] {
		group.Go(func() {
			n.server.BeginDrain()
			removeFromView(n)
			n.manager.HandOver(t.Context(), time.Now().Add(10*time.Second))
			n.kill()
		})
	}
	group.Wait()
	for _, rec := range c.nodes[3].journal.OpenRecords() {
		for _, n := range c.nodes[4:] {
			other := n.journal.Get(rec.ID)
			assert.Check(t, other == nil || other.HasMoved() || other.Epoch() != rec.Epoch(), "two daemons hold %s", rec.ID)
		}
	}
}
