package policytest

import (
	"time"

	"rattantide/internal/membership"
)

// blockTokens is the length in tokens of the blocks by which prompts are cached.
const blockTokens = 16

// job is an attempt to execute a request at an engine.
type job struct {
	request *request
	// promptTokens is the number of tokens to process, including the tokens of the
	// answer that other engines have already generated. promptRemaining is the number
	// of those that are neither processed nor cached.
	promptTokens    int
	promptRemaining int
	cachedTokens    int
	// yieldsToken reports whether the current step generates a token for the job.
	yieldsToken bool
	// onFirstToken may be nil. At most one of onDone and onLost is called; onLost if the
	// engine is killed before the job is done, or is already dead when the job is
	// submitted.
	onFirstToken func(j *job)
	onDone       func(j *job)
	onLost       func(j *job)
}

// engine simulates a model engine.
type engine struct {
	upstream   membership.Upstream
	model      *engineModel
	events     *eventQueue
	cache      *prefixCache
	waiting    []*job
	running    []*job
	isStepping bool
	isDead     bool
	// slots bounds the batch; 0 means that of the model.
	slots int
	// slowness, when set, returns how long steps take at a time relative to the usual time.
	slowness func(at time.Duration) float64
	busyTime time.Duration
	// computedTokens counts the prompt tokens that were processed.
	computedTokens int
}

// submit adds a job to the queue, or calls its onLost if the engine is dead.
func (e *engine) submit(j *job) {
	if e.isDead {
		j.onLost(j)
		return
	}
	e.waiting = append(e.waiting, j)
	if !e.isStepping {
		e.step()
	}
}

// step admits waiting jobs to the batch and starts the next step.
func (e *engine) step() {
	for len(e.waiting) > 0 && len(e.running) < e.maxJobs() {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.cachedTokens = min(e.cache.matchLength(j.request.blocks)*blockTokens, j.promptTokens-1)
		j.promptRemaining = j.promptTokens - j.cachedTokens
		e.running = append(e.running, j)
	}
	if len(e.running) == 0 {
		e.isStepping = false
		return
	}
	e.isStepping = true
	chunk, decoding := e.model.maxChunkTokens, 0
	for _, j := range e.running {
		if j.promptRemaining == 0 {
			decoding++
			j.yieldsToken = true
			continue
		}
		n := min(chunk, j.promptRemaining)
		j.promptRemaining -= n
		chunk -= n
		// The step that finishes the prompt yields the first token.
		j.yieldsToken = n > 0 && j.promptRemaining == 0
	}
	processed := e.model.maxChunkTokens - chunk
	e.computedTokens += processed
	duration := e.model.stepBase + time.Duration(processed)*e.model.stepPerPromptToken + time.Duration(decoding)*e.model.stepPerDecoding
	if e.slowness != nil {
		duration = time.Duration(float64(duration) * e.slowness(e.events.now))
	}
	e.busyTime += duration
	e.events.scheduleAfter(duration, e.endStep)
}

// maxJobs returns the largest size of the batch.
func (e *engine) maxJobs() int {
	if e.slots > 0 {
		return e.slots
	}
	return e.model.maxBatchJobs
}

// endStep adds the generated tokens to their requests, removes finished jobs and starts
// the next step.
func (e *engine) endStep() {
	if e.isDead {
		return
	}
	unfinished := e.running[:0]
	var finished []*job
	for _, j := range e.running {
		if !j.yieldsToken {
			unfinished = append(unfinished, j)
			continue
		}
		r := j.request
		r.generatedTokens++
		r.recordToken(e.events.now)
		if r.generatedTokens == 1 {
			r.firstTokenAt = e.events.now
		}
		if j.onFirstToken != nil {
			j.onFirstToken(j)
			j.onFirstToken = nil
			e.cache.store(r.blocks)
		}
		if r.generatedTokens >= r.answerTokens {
			finished = append(finished, j)
			continue
		}
		unfinished = append(unfinished, j)
	}
	e.running = unfinished
	e.step()
	for _, j := range finished {
		j.request.endedAt = e.events.now
		j.onDone(j)
	}
}

// kill stops the engine and calls onLost of all its jobs.
func (e *engine) kill() {
	e.isDead = true
	jobs := append(append([]*job(nil), e.running...), e.waiting...)
	e.running, e.waiting = nil, nil
	for _, j := range jobs {
		j.onLost(j)
	}
}

// loadReport returns the current load. It reports half of the used cache as used
// memory.
func (e *engine) loadReport() membership.Load {
	used := int64(e.cache.lru.Len() * blockTokens)
	return membership.Load{Running: len(e.running), Waiting: len(e.waiting), KVUsedTokens: used / 2, KVTotalTokens: int64(e.model.cacheTokens)}
}
