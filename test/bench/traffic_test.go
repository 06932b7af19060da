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
	// daemonRate is the request rate per second of one daemon at the target size:
	// 32,000 requests per second over 380 daemons.
	daemonRate = 84
	// answerTokens is the mean length of an answer at the target size: 6.5 million
	// tokens per second over 32,000 requests per second.
	answerTokens = 200
)

// engineArgs give the stand-in engines low latency and high capacity, so that they do
// not limit the measured daemon.
var engineArgs = []string{"-slots", "2000", "-max-waiting", "2000", "-token-growth", "0", "-kv-tokens", "4000000", "-token-time", "10ms"}

// startCluster builds the programs and starts a cluster, which is killed when the
// benchmark ends. args are flags of the engines.
func startCluster(b *testing.B, engines, daemons int, args ...string) *cluster {
	b.Helper()
	bin := b.TempDir()
	assert.NilError(b, proc.Build(b.Context(), bin))
	c := &cluster{dir: b.TempDir(), binDir: bin}
	b.Cleanup(c.killAll)
	assert.NilError(b, c.start(b.Context(), engines, daemons, args...))
	return c
}

// BenchmarkAddedFirstToken measures how much a daemon adds to the time to the first
// token, compared with direct requests to the stand-ins in the same run, at the rate
// daemonRate.
func BenchmarkAddedFirstToken(b *testing.B) {
	c := startCluster(b, 8, 1, engineArgs...)
	options := load.Options{
		Token: workspaceToken, Model: pool, Rate: daemonRate, Requests: 1000,
		MaxTokens: answerTokens, PromptWords: 40, Seed: 1,
	}
	for b.Loop() {
		direct, viaDaemons := options, options
		direct.URLs, viaDaemons.URLs = urls(c.engines), urls(c.daemons)
		baseline := load.Run(b.Context(), direct)
		before := processUsage(b, c.daemons[0])
		measured := load.Run(b.Context(), viaDaemons)
		after := processUsage(b, c.daemons[0])
		assert.Equal(b, baseline.Completed, baseline.Sent)
		assert.Equal(b, measured.Completed, measured.Sent)
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
		b.ReportMetric(float64(after.ResidentBytes)/(1<<20), "resident-MB")
	}
}

// BenchmarkOpenStreams measures the resident memory of an idle daemon and of one with
// 1,000 open streams.
func BenchmarkOpenStreams(b *testing.B) {
	c := startCluster(b, 8, 1, append(engineArgs, "-token-time", "50ms")...)
	for b.Loop() {
		idle := processUsage(b, c.daemons[0])
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
				current := processUsage(b, c.daemons[0])
				peak.ResidentBytes = max(peak.ResidentBytes, current.ResidentBytes)
			}
		}
		cancel()
		b.Logf("%s", report)
		assert.Equal(b, report.Completed, report.Sent)
		b.ReportMetric(float64(idle.ResidentBytes)/(1<<20), "idle-MB")
		b.ReportMetric(float64(peak.ResidentBytes)/(1<<20), "resident-MB")
	}
}

func processUsage(b *testing.B, p *proc.Process) proc.Usage {
	b.Helper()
	u, err := p.Usage()
	assert.NilError(b, err)
	return u
}
