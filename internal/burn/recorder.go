package burn

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/api"
)

// maxClasses bounds the recorded classes; further ones are recorded together
// as otherValue. A class takes at most about 1 MiB of histograms.
const maxClasses = 16

// Recorder records the requests of one daemon. It is safe for concurrent use.
type Recorder struct {
	daemon  string
	classOf func(name string) *api.Class
	scope   tally.Scope

	mu     sync.RWMutex
	series map[string]*series
}

// NewRecorder returns a Recorder without observations.
func NewRecorder(o Options) *Recorder {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Recorder{daemon: o.Daemon, classOf: o.ClassOf, scope: o.Scope.SubScope("burn"), series: map[string]*series{}}
}

// Observe records a request that ended at now. Whether it was good is decided
// by the targets in effect now; changing a target does not change the past.
func (r *Recorder) Observe(now time.Time, o Observation) {
	counts := countOf(&o, r.classOf(o.Class))
	s := r.seriesOf(o.Class)
	s.add(now, &o, counts)
	s.metrics.add(counts)
}

func (r *Recorder) seriesOf(class string) *series {
	r.mu.RLock()
	s := r.series[class]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.series[class]; !ok && len(r.series) >= maxClasses {
		class = otherValue
	}
	if s = r.series[class]; s == nil {
		s = &series{metrics: newMetrics(r.scope, class)}
		r.series[class] = s
	}
	return s
}

// Export returns the content of all windows at now. Its histograms can be
// merged with those of other daemons.
func (r *Recorder) Export(now time.Time) *Export {
	out := &Export{Daemons: []string{r.daemon}, AtMs: now.UnixMilli(), Classes: map[string]*ClassExport{}}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for name, s := range r.series {
		class := &ClassExport{Goals: goalsOf(r.classOf(name)), Windows: map[string]*WindowExport{}}
		for i, w := range Windows {
			sum, err := s.total(i, now)
			if err != nil {
				continue // All buckets have the same range, so none drops a value.
			}
			exported, err := sum.export()
			if err != nil {
				continue // Encoding into memory does not fail.
			}
			class.Windows[w.Name] = exported
		}
		out.Classes[name] = class
	}
	return out
}

// Report returns the report of this daemon alone.
func (r *Recorder) Report(now time.Time) (*Report, error) { return NewReport(r.Export(now)) }
