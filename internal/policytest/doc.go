// Package policytest compares routing policies on generated workloads. It runs
// the real admission and routing code over simple models of engines with a
// synthetic clock, so that a seed determines every figure. Run measures one policy on
// one workload, and Capacity finds the highest arrival rate at which 95% of the
// requests meet their latency targets.
package policytest
