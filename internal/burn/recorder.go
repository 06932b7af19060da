package burn

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/api"
)

// maxClasses limits the number of recorded classes; further ones are recorded
// together as overflowValue. The histograms of a class take at most about 1 MiB.
const maxClasses = 16

// Recorder records the requests of one daemon. It is safe for concurrent use.
type Recorder struct {
	daemon      string
	lookupClass func(name string) *api.Class
	scope       tally.Scope

	mu     sync.RWMutex
	series map[string]*series
}

// NewRecorder returns a Recorder without observations.
func NewRecorder(o Options) *Recorder {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Recorder{daemon: o.Daemon, lookupClass: o.LookupClass, scope: o.Scope.SubScope("burn"), series: map[string]*series{}}
}

// Observe records a request that ended at now. It is evaluated against the
// targets in effect at the time of the call; a later change of a target does not
// affect it.
func (r *Recorder) Observe(now time.Time, o Observation) {
	counts := countsForObservation(&o, r.lookupClass(o.Class))
	s := r.seriesFor(o.Class)
	s.add(now, &o, counts)
	s.metrics.add(counts)
}

// seriesFor returns the series of a class, or of overflowValue if maxClasses
// other classes are recorded. It creates the series if it does not exist.
func (r *Recorder) seriesFor(class string) *series {
	r.mu.RLock()
	s := r.series[class]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.series[class]; !ok && len(r.series) >= maxClasses {
		class = overflowValue
	}
	if s = r.series[class]; s == nil {
		s = &series{metrics: newMetrics(r.scope, class)}
		r.series[class] = s
	}
	return s
}

// Export returns the measurements of all windows that end at now. They can be
// merged with those of other daemons.
func (r *Recorder) Export(now time.Time) *Export {
	export := &Export{Daemons: []string{r.daemon}, AtMs: now.UnixMilli(), Classes: map[string]*ClassExport{}}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for name, s := range r.series {
		class := &ClassExport{Goals: classGoals(r.lookupClass(name)), Windows: map[string]*WindowExport{}}
		for i, w := range Windows {
			sum, err := s.sumWindow(i, now)
			if err != nil {
				continue // Cannot happen: all histograms have the same range.
			}
			exported, err := sum.encode()
			if err != nil {
				continue // Cannot happen: encoding to memory does not fail.
			}
			class.Windows[w.Name] = exported
		}
		export.Classes[name] = class
	}
	return export
}

// Report returns the report of this daemon at now.
func (r *Recorder) Report(now time.Time) (*Report, error) { return NewReport(r.Export(now)) }
