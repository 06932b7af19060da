package policytest

import "time"

// fleetModel describes the daemons and the engines of a simulation.
type fleetModel struct {
	daemons, engines int
	// reportInterval is the time between two load reports of an engine to a daemon,
	// and reportLag the age of a report when it is received.
	reportInterval, reportLag time.Duration
	engine                    engineModel
	// hasOnePrice is set if all engines are reclaimable and cost the same.
	hasOnePrice bool
	// reportsSlots is set if the engines report their slots.
	reportsSlots bool
}

// engineModel holds the parameters of an engine, which uses continuous batching. A step
// processes a chunk of prompt tokens and generates one token for each job that has finished
// its prompt; its duration grows with both. A long prompt therefore delays the tokens of the
// running jobs, and the prompts that were admitted to the batch after it.
type engineModel struct {
	stepBase           time.Duration
	stepPerPromptToken time.Duration
	stepPerDecoding    time.Duration
	maxChunkTokens     int
	maxBatchJobs       int
	// cacheTokens is the capacity of the prefix cache.
	cacheTokens int
}

// defaultFleet is the fleet of workloads that name none. The engines have the magnitude of a
// mid-size model on one accelerator; the cache is enough for about a dozen archive texts.
var defaultFleet = fleetModel{
	daemons: 4, engines: 12, reportInterval: 2 * time.Second, reportLag: 500 * time.Millisecond,
	engine: engineModel{
		stepBase: 10 * time.Millisecond, stepPerPromptToken: 100 * time.Microsecond, stepPerDecoding: 500 * time.Microsecond,
		maxChunkTokens: 256, maxBatchJobs: 32, cacheTokens: 40_000,
	},
}

// unevenEngine is an engine of the deployments that docs/uneven-demand.md describes: 16
// slots, 40 prompt tokens per millisecond, and steps of 5 to 6 ms without a prompt. With the
// chunk of 2,048 tokens, a prompt delays each token of the running jobs by up to 51 ms.
var unevenEngine = engineModel{
	stepBase: 5 * time.Millisecond, stepPerPromptToken: 25 * time.Microsecond, stepPerDecoding: 60 * time.Microsecond,
	maxChunkTokens: 2048, maxBatchJobs: 16, cacheTokens: 160_000,
}
