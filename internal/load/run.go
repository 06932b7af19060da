package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const defaultTimeout = 60 * time.Second

// Run sends the requests, waits for their responses and returns the measurements.
// When ctx ends, Run sends no further requests; requests that were not sent are not
// counted.
func Run(ctx context.Context, o Options) *Report {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.HTTPClient == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.MaxIdleConnsPerHost = 4096
		transport.MaxIdleConns = 0
		o.HTTPClient = &http.Client{Transport: transport}
		defer transport.CloseIdleConnections()
	}
	g := &generator{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), report: newReport()}
	return g.run(ctx)
}

// generator sends the requests of one run. mu guards the measurements in report.
type generator struct {
	options Options
	random  *rand.Rand

	mu     sync.Mutex
	report *Report
}

func (g *generator) run(ctx context.Context) *Report {
	start := time.Now()
	var wg sync.WaitGroup
	next := start
	for i := range g.options.Requests {
		if !sleepUntil(ctx, next) {
			break
		}
		next = next.Add(g.interval())
		prompt := g.prompt(i)
		url := g.options.URLs[i%len(g.options.URLs)]
		g.report.Sent++
		wg.Go(func() { g.record(g.send(ctx, url, prompt)) })
	}
	wg.Wait()
	g.report.Elapsed = time.Since(start)
	return g.report
}

// interval returns the time to the next arrival. Arrivals are a Poisson process.
func (g *generator) interval() time.Duration {
	return time.Duration(g.random.ExpFloat64() / g.options.Rate * float64(time.Second))
}

// record adds the measurement of one request to the report.
func (g *generator) record(m measurement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Tokens += int64(len(m.tokenGaps))
	if m.firstToken > 0 {
		_ = g.report.FirstToken.RecordValue(min(m.firstToken.Microseconds(), maxRecordedMicros))
		g.report.Tokens++
	}
	for _, gap := range m.tokenGaps {
		_ = g.report.BetweenTokens.RecordValue(min(gap.Microseconds(), maxRecordedMicros))
	}
	if m.failure != "" {
		g.report.Failures[m.failure]++
		return
	}
	g.report.Completed++
}

// sleepUntil waits until at and returns true, or returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
