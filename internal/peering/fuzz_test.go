//go:build fuzz

package peering

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/telemetry"
)

// FuzzMessage guards against a datagram that ends the goroutine that receives messages, and
// with it the process, or that adds more daemons than it has room for.
func FuzzMessage(f *testing.F) {
	for _, m := range []message{
		{Number: 1, Report: Report{Name: "a", Process: "p", IP: "127.0.7.2", Ready: true}},
		{Number: 1, IsResponse: true, Report: Report{Name: "a"}, Addresses: []string{"127.0.7.3", "x"}, Evidence: make([]byte, 3*evidenceBytes+1)},
		{Number: 1, Report: Report{Name: "a"}, Call: json.RawMessage(`{}`)},
		{Number: 1, Report: Report{Name: "a"}, Reply: json.RawMessage(`{}`)},
	} {
		text, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := New(Options{
			IP: "127.0.7.1", Name: "self", SelfReport: func(bool) Report { return Report{Name: "self"} }, Now: time.Now,
			HandleCall: func(Report, json.RawMessage) json.RawMessage { return json.RawMessage(`{}`) },
			Logger:     telemetry.Discard(), Scope: tally.NoopScope,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = n.conn.Close() }()
		n.Add("127.0.7.2")
		n.trackRequest("127.0.7.2", &message{})
		var m message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		n.handle("127.0.7.2", &m)
		n.runRound()
		if limit := 2 + len(m.Addresses) + len(m.Evidence)/evidenceBytes; n.PeerCount() > limit {
			t.Fatalf("%d daemons are known after a message for at most %d", n.PeerCount(), limit)
		}
	})
}
