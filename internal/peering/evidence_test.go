package peering

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rattantide/internal/telemetry"
)

// Guards against evidence that changes on the wire, and above all that becomes newer.
func TestEvidenceIsNeverNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := evidence{
			ip:      netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))),
			process: rapid.Uint16().Draw(t, "process"), ready: rapid.Bool().Draw(t, "ready"), leaving: rapid.Bool().Draw(t, "leaving"),
			age: time.Duration(rapid.Int64Range(0, int64(maxEvidenceAge)).Draw(t, "age")),
		}
		cut := rapid.IntRange(0, evidenceBytes-1).Draw(t, "cut")
		data := appendEvidence(appendEvidence(nil, sent), sent)
		var received []evidence
		decodeEvidence(data[:len(data)-cut], func(e evidence) { received = append(received, e) })
		assert.Assert(t, len(received) >= 1)
		age := received[0].age
		assert.Assert(t, age >= sent.age && age < sent.age+evidenceAgeUnit)
		received[0].age = sent.age
		assert.Equal(t, received[0], sent)
	})
}

// evidenceFixture is a Node with a simulated clock that knows one other daemon.
type evidenceFixture struct {
	*Node
	now time.Time
}

func newEvidenceFixture(t *testing.T) *evidenceFixture {
	f := &evidenceFixture{now: time.Unix(1000, 0)}
	var err error
	f.Node, err = New(Options{
		IP: "127.0.6.1", Name: "self", SelfReport: func(bool) Report { return Report{Name: "self"} }, Now: func() time.Time { return f.now },
		Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = f.conn.Close() })
	f.handleResponse("127.0.6.2", Report{Name: "other", Process: "p", Ready: true}, nil)
	return f
}

// handleResponse sends a request to a daemon and handles its response at once.
func (f *evidenceFixture) handleResponse(ip string, r Report, data []byte) {
	f.Add(ip)
	m := message{}
	f.trackRequest(ip, &m)
	f.handle(ip, &message{Number: m.Number, IsResponse: true, Report: r, Evidence: data})
}

// hear handles a response of a third daemon with evidence of the other one.
func (f *evidenceFixture) hear(e evidence) {
	e.ip = netip.MustParseAddr("127.0.6.2")
	f.handleResponse("127.0.6.3", Report{Name: "third", Process: "t"}, appendEvidence(nil, e))
}

func (f *evidenceFixture) other() Peer {
	for _, p := range f.Peers() {
		if p.Name == "other" {
			return p
		}
	}
	return Peer{}
}

// Guards against a daemon that stays in the directory for long after it was lost, which
// each caller that is sent to it pays with a second, and against one that is dropped
// although others hear from it.
func TestEvidenceOfOtherDaemons(t *testing.T) {
	live := evidence{process: processHash("p"), ready: true, age: 500 * time.Millisecond}
	f := newEvidenceFixture(t)
	for range 20 {
		f.now = f.now.Add(time.Second)
		f.hear(live)
		assert.Assert(t, f.other().Alive, "evidence of other daemons suffices")
	}
	// Repeated evidence that gets older does not keep the daemon alive.
	lostAt := f.now
	for f.other().Alive {
		f.now = f.now.Add(100 * time.Millisecond)
		f.hear(evidence{process: live.process, ready: true, age: f.now.Sub(lostAt) + live.age})
	}
	assert.Assert(t, f.now.Sub(lostAt) <= aliveTimeout, "dropped after %v", f.now.Sub(lostAt))

	// A restarted daemon is asked how callers reach it.
	f.hear(evidence{process: processHash("q"), ready: true})
	assert.Assert(t, !f.other().Alive)
	assert.Assert(t, f.peers["127.0.6.2"].isQueued)
}

// Guards against old evidence that returns callers to a daemon that is leaving or that
// has declared not to be ready.
func TestOldEvidenceDoesNotUndoRefusals(t *testing.T) {
	ready := evidence{process: processHash("p"), ready: true, age: 100 * time.Millisecond}
	for name, refusal := range map[string]Report{
		"leaving":   {Name: "other", Process: "p", Ready: true, Leaving: true},
		"not ready": {Name: "other", Process: "p"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newEvidenceFixture(t)
			f.now = f.now.Add(time.Second)
			f.handle("127.0.6.2", &message{Report: refusal})
			f.hear(ready)
			p := f.other()
			assert.Assert(t, !p.Serves())
		})
	}
}

// Guards against a request that was sent before a pause of its sender, or by an earlier
// process, and counts as proof that the sender is alive.
func TestRequestProvesLifeOnlyAfterAnAnswer(t *testing.T) {
	f := newEvidenceFixture(t)
	request := func(number, answered uint64) {
		f.handle("127.0.6.2", &message{Number: number, Answered: answered, Report: Report{Name: "other", Process: "p", Ready: true}})
	}
	request(5, 0)
	f.now = f.now.Add(aliveTimeout)
	request(6, 0)
	assert.Assert(t, !f.other().Alive, "no answer was received")
	request(7, 5)
	assert.Assert(t, !f.other().Alive, "the answer to an earlier request")
	request(8, 7)
	assert.Assert(t, f.other().Alive)
	f.now = f.now.Add(aliveTimeout)
	assert.Assert(t, !f.other().Alive)
}

// Guards against a crash that a daemon of a large fleet notices only when its own turn to
// ask comes, and against changes that are handled one by one when many daemons start.
func TestCrashIsKnownThroughOthers(t *testing.T) {
	const daemons = 100
	var nodes []*Node
	var stops []context.CancelFunc
	port := 0
	changes := make([]int, daemons)
	for i := range daemons {
		ip := fmt.Sprintf("127.0.5.%d", i+1)
		report := Report{Name: ip, Process: "p", IP: ip, Ready: true}
		n, err := New(Options{
			IP: ip, Port: port, Name: ip, SelfReport: func(bool) Report { return report }, Now: time.Now,
			OnChange: func() { changes[i]++ }, Logger: telemetry.Discard(), Scope: tally.NoopScope,
		})
		assert.NilError(t, err)
		port = n.opts.Port
		nodes = append(nodes, n)
	}
	for i, n := range nodes {
		n.Add("127.0.5.1", fmt.Sprintf("127.0.5.%d", 1+(i+1)%daemons))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.Run(ctx)
		}()
		stop := func() { cancel(); <-done }
		stops = append(stops, stop)
		t.Cleanup(stop)
	}
	serving := func(n *Node) int {
		count := 0
		for _, p := range n.Peers() {
			if p.Serves() {
				count++
			}
		}
		return count
	}
	for _, n := range nodes {
		await(t, "all daemons know each other", func() bool { return serving(n) == daemons-1 })
	}
	stops[7]()
	stoppedAt := time.Now()
	for i, n := range nodes {
		if i != 7 {
			await(t, "the stopped daemon is excluded", func() bool { return serving(n) == daemons-2 })
		}
	}
	t.Logf("excluded everywhere after %v", time.Since(stoppedAt))
	for _, stop := range stops {
		stop()
	}
	for i := range nodes {
		assert.Assert(t, changes[i] < daemons/2, "%d changes were handled", changes[i])
	}
}
