// Package journal holds the requests that this daemon has accepted, with the
// numbered events of their answers. A caller's connection only reads a record,
// so a slow or lost caller neither stops nor loses an answer.
package journal
