package telemetry

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally updates the reporter.
const reportInterval = time.Second

// NewScope returns the root scope with the prefix "rattantide", the handler that
// exposes it in the Prometheus text format, and a closer that stops its reporting.
func NewScope() (tally.Scope, http.Handler, io.Closer) {
	// A separate registry allows several daemons in one test process.
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "rattantide",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
