package combinations

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// plan holds the two injections that a seed determines.
type plan struct {
	seed       int64
	injections []injection
}

// newPlan draws two injections that differ in fault or target.
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

// String lists the injections for a failure report.
func (p *plan) String() string {
	var out []string
	for _, i := range p.injections {
		out = append(out, i.String())
	}
	return fmt.Sprintf("seed %d: %s", p.seed, strings.Join(out, "; "))
}

// targetCount returns the number of different targets of the faults with these
// names.
func (p *plan) targetCount(names ...string) int {
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

// canLoseRecords reports whether the faults can destroy both copies of a request
// record. A record is stored by its holder and by one backup, so a caller may lose its
// answer if two daemons are killed or frozen without notice at the same time. A
// daemon with notice hands its records over and therefore does not count.
func (p *plan) canLoseRecords() bool { return p.targetCount(daemonKilled, daemonFrozen) > 1 }

// canQuarantine reports whether two engines of a request can be killed without
// notice. By design such a request is not retried on a third engine, because it
// cannot be distinguished from a request that crashes engines.
func (p *plan) canQuarantine() bool { return p.targetCount(engineKilled) > 1 }
