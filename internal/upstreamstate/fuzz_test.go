//go:build fuzz

package upstreamstate

import (
	"testing"
	"time"
)

// FuzzMerge guards against a message that crashes a daemon, that gives an upstream values out
// of their range or a report from the future, or that changes what other upstreams are known
// for.
func FuzzMerge(f *testing.F) {
	now := time.Unix(1000, 0)
	process := Process{Pool: "p", Name: "a", Address: "a:1", Generation: 1}
	e := entry{key: process.key(), age: time.Second / 4, pace: 140, running: 15, waiting: 2, hasExtra: true, slots: 16, slowness: 130}
	f.Add(e.append([]byte{byte(kindMerged)}))
	f.Add(append(e.append([]byte{byte(kindObservations)}), 1, 2, 3, 0xff, 0))
	f.Fuzz(func(t *testing.T, payload []byte) {
		s := NewStore()
		s.SetUpstreams([]Process{process})
		updates, invalid, err := s.Merge(payload, now, nil)
		if err != nil && (invalid > 0 || len(updates) > 0) {
			t.Fatalf("%d updates and %d invalid entries with error %v", len(updates), invalid, err)
		}
		for _, u := range updates {
			l := u.Load
			if u.Process != process || l.AgeMs < 0 || l.AgeMs > maxAge.Milliseconds() || l.Pace <= 0 || l.Pace > 300 || l.Slots <= 0 ||
				l.Speed < 0 || l.Speed > maxSlowness || l.Running < 0 || l.Running > maxCount || l.Waiting < 0 || l.Waiting > maxCount {
				t.Fatalf("update %+v", u)
			}
		}
		if s.encodeUnsent(toFirst, maxMessageBytes, now) != nil && len(updates) == 0 && len(payload) < 1+keyBytes {
			t.Fatal("a message without an entry")
		}
	})
}
