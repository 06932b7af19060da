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

// idleWorker does not process records, so they stay open.
type idleWorker struct{}

func (idleWorker) Start(*journal.Record) {}
func (idleWorker) Stop(*journal.Record)  {}

// BenchmarkHandOver measures the handoff of 1,000 open records from one daemon
// to three others. Each record has a body of 16 KiB and 100 events.
func BenchmarkHandOver(b *testing.B) {
	const records = 1000
	body := []byte(strings.Repeat("x", 16<<10))
	event := []byte(strings.Repeat("y", 180))
	for round := 0; b.Loop(); round++ {
		b.StopTimer()
		c := newCluster(b, 4)
		for _, n := range c.nodes {
			n.manager.SetWorker(idleWorker{})
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
		maxHeld := 0
		for _, n := range c.nodes[1:] {
			openRecords := n.journal.OpenRecords()
			maxHeld = max(maxHeld, len(openRecords))
			for _, rec := range openRecords {
				rec.Finish(journal.OutcomeFailed, &problem.Problem{})
			}
		}
		b.ReportMetric(float64(maxHeld)/(records/3.0), "largest-share")
		b.StartTimer()
	}
	b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(b.N*records), "us/record")
}
