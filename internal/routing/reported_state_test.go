package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

// plainPool is a pool of a plain service with three upstreams of 6 slots and the tracker of
// one daemon.
type plainPool struct {
	now       time.Time
	tracker   *Tracker
	policy    *Cost
	upstreams []membership.Upstream
	picks     uint64
}

func newPlainPool() *plainPool {
	p := &plainPool{now: time.Unix(1000, 0), tracker: NewTracker(0), policy: NewCost()}
	for i := range 3 {
		p.upstreams = append(p.upstreams, membership.Upstream{Name: fmt.Sprintf("u%d", i), Address: "a", Generation: 1})
	}
	return p
}

func (p *plainPool) report(i, running, waiting int, pace float64) {
	p.upstreams[i].Load = &membership.Load{Running: running, Waiting: waiting, Slots: 6, Pace: pace, ReceivedAt: p.now}
}

func (p *plainPool) candidates() []Candidate {
	return p.tracker.Candidates(&Request{Now: p.now}, p.upstreams, nil)
}

// share returns the share of choices that go to an upstream.
func (p *plainPool) share(i int) float64 {
	const draws = 300
	count := 0
	for range draws {
		p.picks++
		req := &Request{Now: p.now, Rand: p.picks * 0x9e3779b97f4a7c15}
		if p.policy.Pick(req, p.candidates()) == i {
			count++
		}
	}
	return float64(count) / draws
}

// serve answers one attempt at an upstream after a time.
func (p *plainPool) serve(i int, took time.Duration) {
	c := p.candidates()[i]
	sent := p.tracker.RecordSent(&Request{Now: p.now}, &c)
	p.now = p.now.Add(took)
	p.tracker.RecordEnd(sent, Feedback{Now: p.now, OK: true, FirstToken: took})
}

// Guards against a plain upstream that gets its usual share while it is slow or its slots are
// in use although slots are free elsewhere, and against avoiding it after the report is old.
func TestPlainUpstreamWithoutRoomIsAvoided(t *testing.T) {
	for name, report := range map[string]func(*plainPool){
		"slow": func(p *plainPool) { p.report(0, 2, 0, 2.5) },
		"full": func(p *plainPool) { p.report(0, 6, 4, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlainPool()
			for range 30 {
				for i := range p.upstreams {
					p.report(i, 2, 0, 1)
					p.serve(i, 30*time.Millisecond)
				}
			}
			p.report(1, 2, 0, 1)
			p.report(2, 2, 0, 1)
			report(p)
			assert.Assert(t, p.share(0) < 0.05)
			p.now = p.now.Add(5 * time.Second)
			assert.Assert(t, p.share(0) > 0.2, "the report is old")
		})
	}
}

// Guards against an upstream that reports nothing, or no longer, being taken for an idle one.
func TestSilentUpstreamIsNotIdle(t *testing.T) {
	p := newPlainPool()
	for range 50 {
		p.report(1, 6, 2, 1.5)
		p.report(2, 6, 2, 1.5)
		p.candidates()
	}
	c := p.candidates()
	assert.Equal(t, c[0].Slots, 6)
	assert.Assert(t, c[0].Waiting > 1 && c[0].Pace > 1.4, "%+v", c[0])
	assert.Assert(t, c[0].WaitSeconds > c[1].WaitSeconds*0.9)
}

// Guards against an upstream that misreports its pace: its answers contradict it and win.
func TestAnswersWinOverReportedPace(t *testing.T) {
	p := newPlainPool()
	for range 100 {
		p.report(0, 2, 0, 1)
		p.report(1, 2, 0, 4)
		p.report(2, 2, 0, 1)
		p.serve(0, 90*time.Millisecond)
		p.serve(1, 30*time.Millisecond)
		p.serve(2, 30*time.Millisecond)
	}
	p.report(0, 2, 0, 1)
	p.report(1, 2, 0, 4)
	p.report(2, 2, 0, 1)
	c := p.candidates()
	assert.Assert(t, c[0].Speed < 0.7*c[2].Speed, "slow, but says that it is not: %.2f of %.2f", c[0].Speed, c[2].Speed)
	assert.Assert(t, c[1].Speed > 1.5*c[2].Speed, "says that it is slow, but is not: %.2f of %.2f", c[1].Speed, c[2].Speed)
	assert.Assert(t, p.share(0) < 0.05)
}

// Guards against a new process, address or version that is taken for its predecessor.
func TestStateBelongsToOneProcess(t *testing.T) {
	for name, change := range map[string]func(*membership.Upstream){
		"process": func(u *membership.Upstream) { u.Generation++ },
		"address": func(u *membership.Upstream) { u.Address = "b" },
		"version": func(u *membership.Upstream) { u.Version = "v2" },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlainPool()
			for range 20 {
				p.report(0, 6, 9, 3)
				p.report(1, 1, 0, 1)
				p.report(2, 1, 0, 1)
				p.serve(0, 900*time.Millisecond)
			}
			p.report(0, 6, 9, 3)
			before := p.candidates()
			change(&p.upstreams[0])
			p.upstreams[0].Load = nil
			after := p.candidates()
			assert.Assert(t, before[0].Speed != 1 && after[0].Speed == 1)
			assert.Assert(t, after[0].Waiting < before[0].Waiting/2 && after[0].Pace < before[0].Pace-0.5)
		})
	}
}

// Guards against this daemon's own attempts being forgotten until the next report.
func TestOwnAttemptsCountAtOnce(t *testing.T) {
	p := newPlainPool()
	for i := range p.upstreams {
		p.report(i, 1, 0, 1)
	}
	first := p.candidates()
	for range 8 {
		p.now = p.now.Add(time.Millisecond)
		c := p.candidates()[0]
		p.tracker.RecordSent(&Request{Now: p.now}, &c)
	}
	after := p.candidates()
	assert.Assert(t, after[0].Waiting > 2)
	assert.Assert(t, after[0].WaitSeconds > 1.3*first[0].WaitSeconds)
	assert.Assert(t, p.share(0) < 0.05)
}

// Guards against a change of the choice where upstreams report three figures only.
func TestThreeFiguresLeaveTheChoiceAsItIs(t *testing.T) {
	p := newPlainPool()
	for i := range p.upstreams {
		p.upstreams[i].Load = &membership.Load{Running: 2 + i, Waiting: i, Slots: 6, ReceivedAt: p.now}
	}
	for i, c := range p.candidates() {
		assert.Equal(t, c.Slots, 0)
		assert.Equal(t, c.Pace+c.Speed+c.Waiting+c.WaitSeconds, 0.0)
		assert.Equal(t, c.Running, float64(2+i))
	}
}
