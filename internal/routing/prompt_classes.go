package routing

import (
	"math"
	"time"
)

const (
	// differOn and differOff are the ratios of the longest to the shortest mean prompt of the
	// pool's classes at which they begin and cease to differ. Below 4, the longest prompts
	// of one class are about as long as those of the other.
	differOn, differOff = 4.0, 3.0
	// minClassWeight is the number of recent requests of a class that its mean needs, and
	// classHalfLife the time in which their weight halves. A class that sends one request
	// every 20 s is known after a minute.
	minClassWeight = 2.5
	classHalfLife  = 60 * time.Second
	// maxClasses bounds the number of classes that are remembered.
	maxClasses = 64
)

// promptClasses learns the mean prompt length of each class of a pool.
type promptClasses struct {
	means map[string]*promptClassMean
	// differ reports whether the classes differ in prompt length, shortest is the lowest of
	// their means, and tightest the tightest of their targets in seconds, or 0.
	differ             bool
	shortest, tightest float64
}

// promptClassMean is the mean prompt length of a class.
type promptClassMean struct {
	weight, tokens float64
	at             time.Duration
	target         float64
}

// observe records the length of a prompt of a class.
func (p *promptClasses) observe(class *PromptClass, tokens float64, now time.Duration) {
	mean := p.means[class.Name]
	if mean == nil {
		if len(p.means) >= maxClasses {
			return
		}
		if p.means == nil {
			p.means = map[string]*promptClassMean{}
		}
		mean = &promptClassMean{at: now}
		p.means[class.Name] = mean
	}
	mean.weight = mean.weight*halfLifeFactor(now-mean.at, classHalfLife) + 1
	mean.at, mean.target = max(mean.at, now), class.tightest()
	mean.tokens += (tokens - mean.tokens) / min(mean.weight, 1/meanWeight)
}

// summarize updates differ, shortest and tightest from the classes that were seen recently,
// and discards the others.
func (p *promptClasses) summarize(now time.Duration) {
	shortest, longest, tightest := math.Inf(1), 0.0, math.Inf(1)
	for name, mean := range p.means {
		weight := mean.weight * halfLifeFactor(now-mean.at, classHalfLife)
		if weight < minClassWeight {
			if weight < 0.1 {
				delete(p.means, name)
			}
			continue
		}
		shortest, longest = min(shortest, mean.tokens), max(longest, mean.tokens)
		if mean.target > 0 {
			tightest = min(tightest, mean.target)
		}
	}
	if math.IsInf(shortest, 1) || math.IsInf(tightest, 1) {
		p.differ, p.shortest, p.tightest = false, 0, 0
		return
	}
	ratio := differOn
	if p.differ {
		ratio = differOff
	}
	p.differ, p.shortest, p.tightest = longest >= shortest*ratio, shortest, tightest
}

// halfLifeFactor returns the factor by which a weight decays in a time.
func halfLifeFactor(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
