// Package server serves the caller API: chat completions, their resumption, the
// list of entry daemons and calls to plain services.
//
// The attempts of a chat completion run independently of the caller's
// connection: they append events to the request's record in the journal, and
// the connection only reads that record. A caller can therefore disconnect and
// resume without interrupting the generation.
package server
