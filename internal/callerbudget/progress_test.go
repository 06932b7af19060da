package callerbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bodies that cannot be complete in time but are kept until their deadline, and
// against slow ones that are terminated although they will be complete in time.
func TestProgressExpiry(t *testing.T) {
	const s, mib = time.Second, 1 << 20
	for name, c := range map[string]struct {
		deadline, last   time.Duration
		received, length int64
		want             time.Duration
	}{
		"nothing yet":                          {deadline: 4 * s, length: 2000 * mib, want: 2 * s},
		"nothing yet of a small body":          {deadline: 4 * s, length: 4, want: 4 * s},
		"nothing yet of one MiB":               {deadline: 4 * s, length: mib, want: 3 * s},
		"nothing yet, unknown length":          {deadline: 4 * s, length: -1, want: 4 * s},
		"one byte":                             {deadline: 4 * s, last: s, received: 1, length: 2000 * mib, want: 2 * s},
		"half":                                 {deadline: 4 * s, last: s, received: 1000 * mib, length: 2000 * mib, want: 4 * s * 16 / 17},
		"stalled":                              {deadline: 60 * s, last: 5 * s, received: 1000 * mib, length: 2000 * mib, want: 15 * s},
		"stalled, unknown length":              {deadline: 60 * s, last: 5 * s, received: 500, length: -1, want: 15 * s},
		"no deadline":                          {last: 55 * s, received: 900, length: -1, want: 60 * s},
		"deadline has passed":                  {deadline: -s, length: 2000 * mib, want: -s},
		"late bytes that arrive without hope":  {deadline: 4 * s, last: 3 * s, received: 1, length: 2000 * mib, want: 2 * s},
		"late bytes, with the rest still near": {deadline: 4 * s, last: 3 * s, received: 1800 * mib, length: 2000 * mib, want: 4 * s * 14400 / 14500},
	} {
		t.Run(name, func(t *testing.T) {
			p := Progress{StartedAt: start, LastAt: start.Add(c.last), Received: c.received, Length: c.length}
			if c.deadline != 0 {
				p.Deadline = start.Add(c.deadline)
			}
			got := p.Expiry().Sub(start)
			assert.Assert(t, (got-c.want).Abs() < time.Millisecond, "%s instead of %s", got, c.want)
		})
	}
}

// Guards against a body that arrives evenly and would be complete just before its deadline,
// but is terminated.
func TestEvenProgressIsKept(t *testing.T) {
	const length, steps = 100 << 20, 100
	total := 9 * time.Second
	p := Progress{StartedAt: start, LastAt: start, Deadline: start.Add(total + total/steps), Length: length}
	for i := int64(1); i < steps; i++ {
		at := start.Add(total * time.Duration(i) / steps)
		assert.Assert(t, at.Before(p.Expiry()), "step %d", i)
		p.Received, p.LastAt = length*i/steps, at
	}
}
