package bench

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/load"
	"rattantide/internal/proc"
)

const (
	// shareRate is one daemon's share of the target size: 32,000 requests per
	// second over 380 daemons.
	shareRate = 84
	// answerTokens is the mean answer at the target size: 6.5 million tokens
	// over 32,000 requests.
	answerTokens = 200
)

// engineArgs make the stand-in fast and roomy, so that what is measured is the
// daemon and not the engine.
var engineArgs = []string{"-slots", "2000", "-max-waiting", "2000", "-token-growth", "0", "-kv-tokens", "4000000", "-token-time", "10ms"}

func startCluster(b *testing.B, engines, daemons int, args ...string) *cluster {
	b.Helper()
	bin := b.TempDir()
	assert.NilError(b, proc.Build(b.Context(), bin))
	c := &cluster{dir: b.TempDir(), bin: bin}
	b.Cleanup(c.stop)
	assert.NilError(b, c.start(b.Context(), engines, daemons, args...))
	return c
}

// BenchmarkAddedFirstToken compares the time to the first token through a daemon
// with that of the stand-ins called directly, at one daemon's share of the
// target load.
func BenchmarkAddedFirstToken(b *testing.B) {
	c := startCluster(b, 8, 1, engineArgs...)
	options := load.Options{
		Token: workspaceToken, Model: pool, Rate: shareRate, Requests: 1000,
		MaxTokens: answerTokens, PromptWords: 40, Seed: 1,
	}
	for b.Loop() {
		direct, through := options, options
		direct.URLs, through.URLs = urls(c.engines), urls(c.daemons)
		baseline := load.Run(b.Context(), direct)
		before := usage(b, c.daemons[0])
		measured := load.Run(b.Context(), through)
		after := usage(b, c.daemons[0])
		assert.Equal(b, baseline.Complete, baseline.Sent)
		assert.Equal(b, measured.Complete, measured.Sent)
		b.Logf("direct:\n%s\nthrough the daemon:\n%s", baseline, measured)
		for _, q := range []struct {
			name     string
			quantile float64
		}{{"p50", 0.5}, {"p99", 0.99}} {
			added := measured.FirstTokenQuantile(q.quantile) - baseline.FirstTokenQuantile(q.quantile)
			b.ReportMetric(float64(added.Microseconds())/1000, "added-"+q.name+"-ms")
		}
		cpu := after.CPU - before.CPU
		b.ReportMetric(float64(measured.Tokens)/measured.Elapsed.Seconds(), "tokens/s")
		b.ReportMetric(cpu.Seconds()/measured.Elapsed.Seconds(), "cores")
		b.ReportMetric(float64(after.Resident)/(1<<20), "resident-MB")
	}
}

// BenchmarkOpenStreams measures the daemon's memory with 1,000 open streams.
func BenchmarkOpenStreams(b *testing.B) {
	c := startCluster(b, 8, 1, append(engineArgs, "-token-time", "50ms")...)
	for b.Loop() {
		idle := usage(b, c.daemons[0])
		ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
		done := make(chan *load.Report, 1)
		go func() {
			done <- load.Run(ctx, load.Options{
				URLs: urls(c.daemons), Token: workspaceToken, Model: pool, Rate: 400, Requests: 1000,
				MaxTokens: answerTokens, PromptWords: 40, Seed: 2,
			})
		}()
		var peak proc.Usage
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		var report *load.Report
		for report == nil {
			select {
			case report = <-done:
			case <-ticker.C:
				now := usage(b, c.daemons[0])
				peak.Resident = max(peak.Resident, now.Resident)
			}
		}
		cancel()
		b.Logf("%s", report)
		assert.Equal(b, report.Complete, report.Sent)
		b.ReportMetric(float64(idle.Resident)/(1<<20), "idle-MB")
		b.ReportMetric(float64(peak.Resident)/(1<<20), "resident-MB")
	}
}

func usage(b *testing.B, p *proc.Process) proc.Usage {
	b.Helper()
	u, err := p.Usage()
	assert.NilError(b, err)
	return u
}
