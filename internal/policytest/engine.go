package policytest

import (
	"time"

	"rattantide/internal/membership"
)

// The model of an engine with continuous batching. A step processes a chunk of
// prompts and one token of each running answer; both make it longer. The
// figures are of the order of a mid-size model on one accelerator.
const (
	stepBase       = 10 * time.Millisecond
	stepPerPrompt  = 100 * time.Microsecond
	stepPerRunning = 500 * time.Microsecond
	chunkTokens    = 256
	maxBatch       = 32
	blockTokens    = 16
	// cacheTokens is the memory for prefixes, about a dozen archives.
	cacheTokens = 40_000
)

// job is an attempt at an engine.
type job struct {
	request *request
	// prompt is the tokens to process, with those of an answer that was begun
	// elsewhere.
	prompt  int
	left    int
	cached  int
	counted bool
	first   func(j *job)
	done    func(j *job)
	lost    func(j *job)
}

// engine is a fake of a model engine.
type engine struct {
	upstream membership.Upstream
	events   *events
	cache    *prefixCache
	waiting  []*job
	running  []*job
	stepping bool
	dead     bool
	busy     time.Duration
	// computed counts prompt tokens that were processed.
	computed int
}

func (e *engine) submit(j *job) {
	if e.dead {
		j.lost(j)
		return
	}
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		e.step()
	}
}

func (e *engine) step() {
	for len(e.waiting) > 0 && len(e.running) < maxBatch {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.cached = min(e.cache.match(j.request.blocks)*blockTokens, j.prompt-1)
		j.left = j.prompt - j.cached
		e.running = append(e.running, j)
	}
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	chunk, decoding := chunkTokens, 0
	for _, j := range e.running {
		if j.left == 0 {
			decoding++
			j.counted = true
			continue
		}
		n := min(chunk, j.left)
		j.left -= n
		chunk -= n
		// The step that ends the prompt yields the first token.
		j.counted = n > 0 && j.left == 0
	}
	processed := chunkTokens - chunk
	e.computed += processed
	took := stepBase + time.Duration(processed)*stepPerPrompt + time.Duration(decoding)*stepPerRunning
	e.busy += took
	e.events.after(took, e.endStep)
}

func (e *engine) endStep() {
	if e.dead {
		return
	}
	kept := e.running[:0]
	var finished []*job
	for _, j := range e.running {
		if !j.counted {
			kept = append(kept, j)
			continue
		}
		r := j.request
		r.generated++
		if r.generated == 1 {
			r.first = e.events.now
		}
		if j.first != nil {
			j.first(j)
			j.first = nil
			e.cache.store(r.blocks)
		}
		if r.generated >= r.answer {
			finished = append(finished, j)
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
	e.step()
	for _, j := range finished {
		j.request.ended = e.events.now
		j.done(j)
	}
}

// kill ends the engine and returns its jobs to whoever sent them.
func (e *engine) kill() {
	e.dead = true
	jobs := append(append([]*job(nil), e.running...), e.waiting...)
	e.running, e.waiting = nil, nil
	for _, j := range jobs {
		j.lost(j)
	}
}

func (e *engine) load() membership.Load {
	used := int64(e.cache.order.Len() * blockTokens)
	return membership.Load{Running: len(e.running), Waiting: len(e.waiting), KVUsedTokens: used / 2, KVTotalTokens: cacheTokens}
}
