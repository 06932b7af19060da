// Package service simulates a plain service: it executes any call and logs it with
// its idempotency key, so that a scenario can count executions.
package service
