// Package policytest compares routing policies on generated workloads. It runs
// the real admission and routing code over simple models of engines with a
// synthetic clock, so that a seed determines every figure.
package policytest
