// Package control provides what the stand-ins share: faults that are switched over
// HTTP, the log of executed calls, and helpers for JSON responses.
package control
