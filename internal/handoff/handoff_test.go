package handoff

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"rattantide/internal/journal"
	"rattantide/internal/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestCallerResumesAtAnotherDaemon guards against a request that only its
// holder can serve, and against a takeover from a live holder.
func TestCallerResumesAtAnotherDaemon(t *testing.T) {
	c := newCluster(t, 4)
	s := c.open(c.nodes[0], "r", 5)
	c.backupOf("r")
	for _, n := range c.nodes[1:] {
		c.resume(n, "r", s)
		assert.Equal(t, n.journal.Get("r") == nil, true)
	}
	assert.Equal(t, c.starts(), 1)
}

// TestKilledHolder guards against a request that is lost with its daemon, and
// against an answer that is generated again although its engine still has it.
func TestKilledHolder(t *testing.T) {
	for _, nonStreamed := range []bool{false, true} {
		c := newCluster(t, 4)
		s := c.open(c.nodes[0], "r", 5)
		backup := c.backupOf("r")
		c.nodes[0].kill()
		for _, n := range c.nodes[1:] {
			if nonStreamed {
				assert.Equal(t, contentOf(t, c.body(n, "GET", "/v1/requests/r", "")), wantText())
				continue
			}
			c.resume(n, "r", s)
		}
		assert.Equal(t, c.starts(), 1)
		assert.Assert(t, backup.manager.backups.placement("r").Epoch >= 2)
	}
}

// TestRelaySurvivesHolder guards against a relayed stream that ends when its
// holder is killed, although the relaying daemon can take the record over.
func TestRelaySurvivesHolder(t *testing.T) {
	c := newCluster(t, 3)
	s := c.open(c.nodes[0], "r", 5)
	c.backupOf("r")
	relayed := newStream(c.do(c.nodes[1], "GET", "/v1/requests/r/stream", "", "Last-Event-ID", fmt.Sprint(s.last)))
	relayed.last, relayed.text = s.last, s.text
	relayed.read(5)
	c.nodes[0].kill()
	relayed.read(1 << 20)
	assert.Assert(t, relayed.done)
	assert.Equal(t, relayed.text, wantText())
}

// TestTakeoverWhenHolderLeavesMembership guards against a request that makes no
// progress until its caller reconnects, although its holder is known to be
// gone.
func TestTakeoverWhenHolderLeavesMembership(t *testing.T) {
	c := newCluster(t, 3)
	c.open(c.nodes[0], "r", 5)
	backup := c.backupOf("r")
	c.nodes[0].kill()
	c.view.update(func(d []membership.Daemon) []membership.Daemon { return d[1:] })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if rec := backup.journal.Get("r"); rec != nil && rec.Status().State == journal.StateFinished {
			return poll.Success()
		}
		return poll.Continue("the backup has not finished the request")
	}, poll.WithDelay(time.Millisecond))
}

// TestFrozenHolderStopsSending guards against a holder that continues to send
// after its record was taken over while it was frozen.
func TestFrozenHolderStopsSending(t *testing.T) {
	c := newClusterWithTimeout(t, 3, 500*time.Millisecond)
	holder := c.nodes[0]
	s := c.open(holder, "r", 5)
	c.backupOf("r")
	holder.frozen.Lock()
	c.resume(c.nodes[1], "r", s)
	holder.unfreeze(time.Hour)
	// Events that were sent before the freeze may still be in transit; the end
	// of the answer must not be sent by this node.
	s.read(1 << 20)
	assert.Assert(t, !s.done)
	assert.Assert(t, s.last <= answerSize)
	assert.Equal(t, s.successor, c.nodes[1].self.Address)
	assert.Assert(t, holder.journal.Get("r").HasMoved())
}

// TestHandOver guards against open requests that are aborted when a daemon
// leaves with advance notice.
func TestHandOver(t *testing.T) {
	c := newCluster(t, 4)
	holder := c.nodes[0]
	s := c.open(holder, "r", 5)
	answers := make(chan string)
	go func() {
		answers <- contentOf(t, c.body(holder, "POST", "/v1/chat/completions", nonStreamBody, "X-Request-Id", "w"))
	}()
	c.backupOf("w")
	report := holder.manager.HandOver(t.Context(), time.Now().Add(10*time.Second))
	assert.Equal(t, report, Report{HandedOver: 2})
	assert.Equal(t, <-answers, wantText())
	s.read(1 << 20)
	assert.Assert(t, !s.done && s.successor != "")
	holder.kill()
	for _, n := range c.nodes[1:] {
		c.resume(n, "r", s)
	}
	assert.Equal(t, c.starts(), 2)
}

// TestSuccessorFails guards against a record that has no holder, or two, after
// its successor failed before or after it adopted the record.
func TestSuccessorFails(t *testing.T) {
	for name, adopts := range map[string]bool{"before": false, "after": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			holder := c.nodes[0]
			s := c.open(holder, "r", 5)
			c.backupOf("r")
			failed := make(chan *node, 1)
			for _, n := range c.nodes[1:] {
				failAdoption := func(w http.ResponseWriter, r *http.Request) bool {
					if !strings.HasSuffix(r.URL.Path, "/adopt") {
						return false
					}
					select {
					case failed <- n:
					default:
						return false
					}
					if adopts {
						n.peerHandler.ServeHTTP(&discardedResponse{ResponseWriter: w}, r)
					}
					panic(http.ErrAbortHandler)
				}
				n.intercept.Store(&failAdoption)
			}
			report := holder.manager.HandOver(t.Context(), time.Now().Add(10*time.Second))
			assert.Equal(t, report, Report{HandedOver: 1})
			holders := 0
			for _, n := range c.nodes {
				if rec := n.journal.Get("r"); rec != nil && !rec.HasMoved() {
					holders++
				}
			}
			assert.Equal(t, holders, 1)
			assert.Equal(t, (<-failed).journal.Get("r") != nil, adopts)
			s.read(1 << 20)
			assert.Assert(t, !s.done && s.successor != "")
			c.resume(c.nodes[1], "r", s)
		})
	}
}

// TestNoSuccessor guards against a holder that ends a record although no daemon
// adopted it.
func TestNoSuccessor(t *testing.T) {
	c := newCluster(t, 2)
	s := c.open(c.nodes[0], "r", 5)
	c.nodes[1].kill()
	report := c.nodes[0].manager.HandOver(t.Context(), time.Now().Add(10*time.Second))
	assert.Equal(t, report, Report{NotHandedOver: 1})
	s.read(1 << 20)
	assert.Assert(t, s.done)
	assert.Equal(t, s.text, wantText())
}

// TestBackupGrantsEachEpochOnce guards against a backup that grants one epoch
// to two daemons, or a lower epoch after a higher one.
func TestBackupGrantsEachEpochOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &backups{journal: journal.New(journal.Options{}), entries: map[string]*backupEntry{}}
		holders := []Address{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		granted := map[int64]Address{1: holders[0]}
		copied := func(h Address, epoch int64) bool {
			response, err := store.store(&copyRequest{Holder: h, Copy: &journal.Copy{Request: journal.Request{ID: "r"}, Epoch: epoch}}, time.Now())
			assert.NilError(t, err)
			return response.Accepted
		}
		assert.Assert(t, copied(holders[0], 1))
		highest := int64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			epoch := rapid.Int64Range(1, 12).Draw(t, "epoch")
			if rapid.Bool().Draw(t, "copy") {
				// Only the daemon that was granted an epoch sends copies under it.
				if granted[epoch] == h {
					assert.Equal(t, copied(h, epoch), epoch == highest)
				}
				continue
			}
			response, _ := store.claim(&claimRequest{ID: "r", Epoch: epoch, Holder: h})
			assert.Equal(t, response.Granted, epoch > highest || epoch == highest && granted[epoch] == h)
			if response.Granted {
				granted[epoch] = h
				highest = epoch
			}
		}
	})
}

func contentOf(t *testing.T, body []byte) string {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) == 0 {
		t.Errorf("no answer: %s", body)
		return ""
	}
	return answer.Choices[0].Message.Content
}

// discardedResponse discards what is written to it, to simulate a lost
// response.
type discardedResponse struct{ http.ResponseWriter }

func (*discardedResponse) Write(p []byte) (int, error) { return len(p), nil }
func (*discardedResponse) WriteHeader(int)             {}
