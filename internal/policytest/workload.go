package policytest

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Workload is a generated sequence of requests and what happens meanwhile.
type Workload struct {
	Name string
	// Length is the time in which requests arrive.
	Length time.Duration
	// ReclaimAt, when not 0, is when one failure domain gets its notice.
	ReclaimAt time.Duration
	// generate returns the requests for a factor on the arrival rate.
	generate func(random *rand.Rand, factor float64) []*request
}

var (
	archiveClass  = &class{name: "archive", priority: 5, first: 1300 * time.Millisecond, between: 55 * time.Millisecond, deadline: 60 * time.Second}
	chatClass     = &class{name: "chat", priority: 5, first: 1300 * time.Millisecond, between: 55 * time.Millisecond, deadline: 30 * time.Second}
	questionClass = &class{name: "question", priority: 8, first: 1300 * time.Millisecond, between: 55 * time.Millisecond, deadline: 30 * time.Second}
	rotaClass     = &class{name: "rota", priority: 3, first: 5 * time.Second, between: 80 * time.Millisecond, deadline: 120 * time.Second}
)

// Workloads returns the workloads of the two users, and two that strain
// fairness and reclaims.
func Workloads() []Workload {
	return []Workload{
		{Name: "archives and chats", Length: 60 * time.Second, generate: archives(5, false)},
		{Name: "rotas and dinner questions", Length: 60 * time.Second, generate: rotas},
		{Name: "few large workspaces", Length: 60 * time.Second, generate: archives(5, true)},
		{Name: "domain reclaimed at the peak", Length: 60 * time.Second, ReclaimAt: 20 * time.Second, generate: archives(5, false)},
	}
}

// archives generates long prompts that share archive texts, and short chats.
// With few, two of the workspaces send 85% of the requests.
func archives(workspaces int, few bool) func(*rand.Rand, float64) []*request {
	return func(random *rand.Rand, factor float64) []*request {
		const perWorkspace = 6
		lengths := make([]int, workspaces*perWorkspace)
		for i := range lengths {
			lengths[i] = 1600 + random.IntN(3200)
		}
		return poisson(random, 60*time.Second, func(time.Duration) float64 { return 26 * factor }, func(r *request) {
			ws := random.IntN(workspaces)
			if few && random.Float64() < 0.75 {
				ws = random.IntN(2)
			}
			r.workspace = fmt.Sprintf("w%d", ws)
			if random.Float64() < 0.4 {
				r.class, r.answer = chatClass, 40+random.IntN(80)
				r.prompt = 96 + random.IntN(400)
				r.blocks = blocksOf(uint64(ws)+1000, 64, uint64(r.id)+1<<32, r.prompt)
				return
			}
			// Low numbers are asked about more often.
			archive := min(random.IntN(perWorkspace), random.IntN(perWorkspace))
			shared := lengths[ws*perWorkspace+archive]
			r.class, r.answer = archiveClass, 80+random.IntN(120)
			r.prompt = shared + 64 + random.IntN(300)
			r.blocks = blocksOf(uint64(ws*perWorkspace+archive)+2000, shared, uint64(r.id)+1<<32, r.prompt)
		})
	}
}

// rotas generates rebuilds of rotas from long notes all the time, and bursts
// of short questions at dinner.
func rotas(random *rand.Rand, factor float64) []*request {
	rate := func(t time.Duration) float64 {
		if s := t.Seconds(); (s >= 15 && s < 25) || (s >= 40 && s < 50) {
			return 60 * factor
		}
		return 12 * factor
	}
	return poisson(random, 60*time.Second, rate, func(r *request) {
		r.workspace = fmt.Sprintf("w%d", random.IntN(5))
		if random.Float64() < 5/rate(r.at)*factor {
			r.class, r.answer = rotaClass, 200+random.IntN(200)
			r.prompt = 1000 + 500 + random.IntN(2000)
			r.blocks = blocksOf(3000, 1000, uint64(r.id)+1<<32, r.prompt)
			return
		}
		r.class, r.answer = questionClass, 30+random.IntN(50)
		r.prompt = 320 + random.IntN(100)
		r.blocks = blocksOf(3001, 256, uint64(r.id)+1<<32, r.prompt)
	})
}

// poisson draws arrivals at a varying rate per second by thinning.
func poisson(random *rand.Rand, length time.Duration, rate func(time.Duration) float64, fill func(*request)) []*request {
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
		r := &request{id: len(out), at: at}
		fill(r)
		out = append(out, r)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// blocksOf returns cumulative block hashes of a prompt whose first shared
// tokens are text number common and whose rest is text number own.
func blocksOf(common uint64, shared int, own uint64, prompt int) []uint64 {
	blocks := make([]uint64, 0, prompt/blockTokens)
	hash := uint64(0)
	for end := blockTokens; end <= prompt; end += blockTokens {
		text := own
		if end <= shared {
			text = common
		}
		hash = mix(hash ^ mix(text+uint64(end)<<40))
		blocks = append(blocks, hash)
	}
	return blocks
}

func mix(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
