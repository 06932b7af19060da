package dispatch

import (
	"context"
	"fmt"
	"testing"

	"rattantide/internal/membership"
)

// sharedTable returns the same slice to all callers, like the membership table.
type sharedTable []membership.Upstream

func (s sharedTable) Upstreams(string) []membership.Upstream { return s }

func (s sharedTable) Outlook(string) membership.Outlook { return membership.Outlook{} }

// BenchmarkChooseAndDone measures a complete decision among 100 upstreams,
// including admission, routing and the recording of the result.
func BenchmarkChooseAndDone(b *testing.B) {
	var table sharedTable
	for i := range 100 {
		table = append(table, membership.Upstream{Name: fmt.Sprintf("u%d", i), Pool: "p", Version: "v1", Domain: fmt.Sprintf("d%d", i%24),
			Load: &membership.Load{Running: i % 7}})
	}
	d := New(Options{Config: newFixture(&testing.T{}, -1).config, Table: table})
	blocks := make([]uint64, 256)
	for i := range blocks {
		blocks[i] = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	r := &Request{ID: "r", Workspace: "w", Class: "c", Pool: "p", Chat: true, PromptTokens: 4096, MaxTokens: 200, Blocks: blocks, Attempt: 1}
	b.ReportAllocs()
	for b.Loop() {
		c, err := d.Choose(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		c.Done(Result{Status: StatusOK})
	}
}

// Upstream implements Table.
func (s sharedTable) Upstream(name string) (membership.Upstream, bool) {
	for i := range s {
		if s[i].Name == name {
			return s[i], true
		}
	}
	return membership.Upstream{}, false
}
