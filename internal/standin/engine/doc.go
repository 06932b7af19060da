// Package engine simulates a model engine: continuous batching, a prefix cache
// in limited memory, numbered event streams that can be resumed, and faults that
// are switched over HTTP. Its answers are a deterministic function of the
// original messages, the seed and the model version.
package engine
