package policytest

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Workload describes a generated sequence of requests and the faults during it.
type Workload struct {
	Name string
	// Length is the period in which requests arrive.
	Length time.Duration
	// ReclaimAt is the time of a reclaim notice for one failure domain, or 0 for none.
	ReclaimAt time.Duration
	// fleet is nil for defaultFleet.
	fleet *fleetModel
	// generate returns the requests, with the arrival rate multiplied by factor.
	generate func(random *rand.Rand, factor float64) []*request
}

func (w *Workload) fleetOrDefault() fleetModel {
	if w.fleet == nil {
		return defaultFleet
	}
	return *w.fleet
}

var (
	archiveClass  = &class{name: "archive", priority: 5, firstTokenTarget: 1300 * time.Millisecond, gapTarget: 55 * time.Millisecond, deadline: 60 * time.Second}
	chatClass     = &class{name: "chat", priority: 5, firstTokenTarget: 1300 * time.Millisecond, gapTarget: 55 * time.Millisecond, deadline: 30 * time.Second}
	questionClass = &class{name: "question", priority: 8, firstTokenTarget: 1300 * time.Millisecond, gapTarget: 55 * time.Millisecond, deadline: 30 * time.Second}
	rotaClass     = &class{name: "rota", priority: 3, firstTokenTarget: 5 * time.Second, gapTarget: 80 * time.Millisecond, deadline: 120 * time.Second}
)

// Workloads returns the typical workloads of the two users of the system, one that
// tests fairness between workspaces, and one with a reclaimed failure domain.
func Workloads() []Workload {
	return []Workload{
		{Name: "archives and chats", Length: 60 * time.Second, generate: archiveRequests(5, false)},
		{Name: "rotas and dinner questions", Length: 60 * time.Second, generate: rotaRequests},
		{Name: "few large workspaces", Length: 60 * time.Second, generate: archiveRequests(5, true)},
		{Name: "domain reclaimed at the peak", Length: 60 * time.Second, ReclaimAt: 20 * time.Second, generate: archiveRequests(5, false)},
	}
}

// archiveRequests generates long prompts that share archive texts, and short chats. If
// isConcentrated is set, two of the workspaces send 85% of the requests.
func archiveRequests(workspaces int, isConcentrated bool) func(*rand.Rand, float64) []*request {
	return func(random *rand.Rand, factor float64) []*request {
		const perWorkspace = 6
		lengths := make([]int, workspaces*perWorkspace)
		for i := range lengths {
			lengths[i] = 1600 + random.IntN(3200)
		}
		return poissonArrivals(random, 60*time.Second, func(time.Duration) float64 { return 26 * factor }, func(r *request) {
			ws := random.IntN(workspaces)
			if isConcentrated && random.Float64() < 0.75 {
				ws = random.IntN(2)
			}
			r.workspace = fmt.Sprintf("w%d", ws)
			if random.Float64() < 0.4 {
				r.class, r.answerTokens = chatClass, 40+random.IntN(80)
				r.promptTokens = 96 + random.IntN(400)
				r.blocks = blockHashes(uint64(ws)+1000, 64, uint64(r.id)+1<<32, r.promptTokens)
				return
			}
			// Archives with low numbers are requested more often.
			archive := min(random.IntN(perWorkspace), random.IntN(perWorkspace))
			shared := lengths[ws*perWorkspace+archive]
			r.class, r.answerTokens = archiveClass, 80+random.IntN(120)
			r.promptTokens = shared + 64 + random.IntN(300)
			r.blocks = blockHashes(uint64(ws*perWorkspace+archive)+2000, shared, uint64(r.id)+1<<32, r.promptTokens)
		})
	}
}

// rotaRequests generates a constant rate of rota rebuilds from long notes, and short
// questions with two bursts at dinner time.
func rotaRequests(random *rand.Rand, factor float64) []*request {
	rate := func(t time.Duration) float64 {
		if s := t.Seconds(); (s >= 15 && s < 25) || (s >= 40 && s < 50) {
			return 60 * factor
		}
		return 12 * factor
	}
	return poissonArrivals(random, 60*time.Second, rate, func(r *request) {
		r.workspace = fmt.Sprintf("w%d", random.IntN(5))
		if random.Float64() < 5/rate(r.arrivedAt)*factor {
			r.class, r.answerTokens = rotaClass, 200+random.IntN(200)
			r.promptTokens = 1000 + 500 + random.IntN(2000)
			r.blocks = blockHashes(3000, 1000, uint64(r.id)+1<<32, r.promptTokens)
			return
		}
		r.class, r.answerTokens = questionClass, 30+random.IntN(50)
		r.promptTokens = 320 + random.IntN(100)
		r.blocks = blockHashes(3001, 256, uint64(r.id)+1<<32, r.promptTokens)
	})
}

// poissonArrivals draws the arrivals of a Poisson process with a time-dependent rate per
// second by thinning, and calls fill for each request.
func poissonArrivals(random *rand.Rand, length time.Duration, rate func(time.Duration) float64, fill func(*request)) []*request {
	highest := 0.0
	for t := time.Duration(0); t < length; t += time.Second {
		highest = max(highest, rate(t))
	}
	var out []*request
	for t := 0.0; ; {
		t += random.ExpFloat64() / highest
		at := time.Duration(t * float64(time.Second))
		if at >= length {
			break
		}
		if random.Float64()*highest > rate(at) {
			continue
		}
		r := &request{id: len(out), arrivedAt: at}
		fill(r)
		out = append(out, r)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].arrivedAt < out[j].arrivedAt })
	return out
}

// blockHashes returns the cumulative block hashes of a prompt whose first sharedTokens
// tokens come from the text with number common and the others from the text with number
// unique.
func blockHashes(common uint64, sharedTokens int, unique uint64, promptTokens int) []uint64 {
	blocks := make([]uint64, 0, promptTokens/blockTokens)
	hash := uint64(0)
	for end := blockTokens; end <= promptTokens; end += blockTokens {
		text := unique
		if end <= sharedTokens {
			text = common
		}
		hash = hash64(hash ^ hash64(text+uint64(end)<<40))
		blocks = append(blocks, hash)
	}
	return blocks
}

// hash64 mixes the bits of z with the SplitMix64 function.
func hash64(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
