package combinations

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// plan is what a seed stands for.
type plan struct {
	seed       int64
	injections []injection
}

func newPlan(seed int64) *plan {
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	p := &plan{seed: seed}
	for len(p.injections) < 2 {
		next := newInjection(r)
		if len(p.injections) == 0 || next.fault.name != p.injections[0].fault.name || next.target != p.injections[0].target {
			p.injections = append(p.injections, next)
		}
	}
	return p
}

// String lists the faults in the form of a failure report.
func (p *plan) String() string {
	var out []string
	for _, i := range p.injections {
		out = append(out, i.String())
	}
	return fmt.Sprintf("seed %d: %s", p.seed, strings.Join(out, "; "))
}

// hits returns how many different targets the faults of these names have.
func (p *plan) hits(names ...string) int {
	targets := map[string]bool{}
	for _, i := range p.injections {
		for _, name := range names {
			if i.fault.name == name {
				targets[i.target] = true
			}
		}
	}
	return len(targets)
}

// mayLoseRecords reports whether the faults can take both copies of a request
// record. A record is held by its holder and one backup, so losing two daemons
// without notice, one of them killed or frozen while the other is, can leave a
// caller without its answer. A daemon with notice hands its records over, so
// that it does not count.
func (p *plan) mayLoseRecords() bool { return p.hits(daemonKilled, daemonFrozen) > 1 }

// mayQuarantine reports whether a request can lose two engines without notice.
// Such a request is not tried on a third one by design, since nothing tells it
// from a request that crashes engines.
func (p *plan) mayQuarantine() bool { return p.hits(engineKilled) > 1 }
