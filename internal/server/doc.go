// Package server serves the caller API: chat completions, their resumption, the
// list of entry daemons and calls to plain services. A plain service is a back end
// that is not a model engine; calls to it that must run at most once are recorded
// by package intent.
//
// The attempts of a chat completion run independently of the caller's
// connection: they append events to the request's record in the journal, and
// the connection only reads that record. A caller can therefore disconnect and
// resume without interrupting the generation. The daemon that executes a request
// is the holder of its record; if another daemon takes the record over, through
// package handoff, that daemon becomes the holder. Callers can ask any daemon for an
// answer: a daemon that is not the holder relays it from the holder.
package server
