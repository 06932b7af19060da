// Package service is the stand-in of a plain service: it executes any call and
// logs it with its key, so that a scenario can count executions.
package service
