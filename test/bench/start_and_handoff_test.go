package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/load"
	"rattantide/internal/proc"
)

// handoffNotice is the notice period in BenchmarkNotice.
const handoffNotice = 10 * time.Second

// BenchmarkStart measures the time from the start of a daemon's process until it answers
// a request, with the object API available and during an outage.
func BenchmarkStart(b *testing.B) {
	for _, isOutage := range []bool{false, true} {
		b.Run(fmt.Sprintf("outage=%t", isOutage), func(b *testing.B) {
			c := startCluster(b, 3, 3, engineArgs...)
			assert.NilError(b, c.setOutage(b.Context(), isOutage))
			next := len(c.daemons)
			var total time.Duration
			for b.Loop() {
				started := time.Now()
				assert.NilError(b, c.startDaemon(b.Context(), next))
				next++
				assert.NilError(b, c.awaitServing(b.Context()))
				total += time.Since(started)
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/start")
		})
	}
}

// BenchmarkNotice measures the time from a reclaim notice until the last record is handed
// over, by the number of open requests.
func BenchmarkNotice(b *testing.B) {
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("open=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureHandoff(b, n)
			}
		})
	}
}

// measureHandoff sends a reclaim notice to a daemon that has the given number of open
// streams, and reports how long the handoff took and how many records were handed over.
func measureHandoff(b *testing.B, openStreams int) {
	// At 200 ms per token and 2,000 tokens, the streams last longer than the
	// measurement.
	c := startCluster(b, 70, 4, append(engineArgs, "-token-time", "200ms")...)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan *load.Report, 1)
	go func() {
		done <- load.Run(ctx, load.Options{
			URLs: urls(c.daemons[:1]), Token: workspaceToken, Model: pool, Rate: 500, Requests: openStreams,
			MaxTokens: 2000, PromptWords: 400, Seed: 3, Timeout: 10 * time.Minute,
		})
	}()
	defer func() {
		cancel()
		<-done
	}()
	assert.NilError(b, proc.Eventually(ctx, time.Minute, nil, func() error { return c.checkOpenStreams(ctx, openStreams) }))
	start := time.Now()
	assert.NilError(b, c.sendReclaimNotice(ctx, "entry-0", handoffNotice))
	var line handoffLine
	assert.NilError(b, proc.Eventually(ctx, 2*handoffNotice, nil, func() (err error) {
		line, err = readHandoff(c.daemons[0].LogPath)
		return err
	}))
	b.ReportMetric(float64(line.Time.Sub(start).Milliseconds()), "ms-to-last")
	b.ReportMetric(float64(line.Records), "records")
	b.ReportMetric(float64(line.NotHandedOver), "kept")
}

// checkOpenStreams returns an error unless the first daemon has n open streams and no
// waiting request.
func (c *cluster) checkOpenStreams(ctx context.Context, n int) error {
	var status struct {
		InFlight int `json:"inFlight"`
		Waiting  int `json:"waiting"`
	}
	if err := getJSON(ctx, "http://"+c.daemons[0].Address+"/admin/v1/status", operatorToken, &status); err != nil {
		return err
	}
	// A stream counts twice, as the request and as the connection of its caller.
	if status.InFlight < 2*n || status.Waiting > 0 {
		return errors.Errorf("the daemon has %d requests in flight and %d waiting", status.InFlight, status.Waiting)
	}
	return nil
}

// handoffLine is the log line of a daemon about a finished handoff.
type handoffLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Records int       `json:"records"`
	// NotHandedOver is the number of records that remained at the daemon.
	NotHandedOver int `json:"kept"`
}

// readHandoff returns the handoff line of a log file, or a NotFound error.
func readHandoff(path string) (handoffLine, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return handoffLine{}, errors.Trace(err)
	}
	for _, text := range bytes.Split(content, []byte("\n")) {
		var line handoffLine
		if json.Unmarshal(text, &line) == nil && line.Message == "records handed over" {
			return line, nil
		}
	}
	return handoffLine{}, errors.NotFoundf("log line about the handoff")
}
