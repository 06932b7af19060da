package handoff

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// heldWorker keeps records open without an engine.
type heldWorker struct{}

func (heldWorker) Start(*journal.Record) {}
func (heldWorker) Stop(*journal.Record)  {}

// BenchmarkHandOver measures the handoff of 1,000 open records, each with a
// body of 16 KB and 100 events, from one daemon to three others.
func BenchmarkHandOver(b *testing.B) {
	const records = 1000
	body := []byte(strings.Repeat("x", 16<<10))
	event := []byte(strings.Repeat("y", 180))
	for round := 0; b.Loop(); round++ {
		b.StopTimer()
		c := newCluster(b, 4)
		for _, n := range c.nodes {
			n.manager.Bind(heldWorker{})
		}
		holder := c.nodes[0]
		for i := range records {
			rec, err := holder.journal.Create(journal.Request{
				ID: fmt.Sprintf("r%d-%d", round, i), Body: body, PromptTokens: i, Deadline: time.Now().Add(time.Minute),
			})
			assert.NilError(b, err)
			attempt := rec.BeginAttempt("engine", "", "v1")
			for k := range int64(100) {
				assert.NilError(b, rec.Append(attempt, k+1, event))
			}
		}
		b.StartTimer()
		report := holder.manager.HandOver(b.Context(), time.Now().Add(time.Minute))
		b.StopTimer()
		assert.Equal(b, report.HandedOver, records)
		most := 0
		for _, n := range c.nodes[1:] {
			held := n.journal.Held()
			most = max(most, len(held))
			for _, rec := range held {
				rec.Finish(journal.OutcomeFailed, &problem.Problem{})
			}
		}
		b.ReportMetric(float64(most)/(records/3.0), "largest-share")
		b.StartTimer()
	}
	b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(b.N*records), "us/record")
}
