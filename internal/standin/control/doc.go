// Package control holds what all stand-ins share: faults that can be switched
// over HTTP, the log of executed calls, and JSON answers.
package control
