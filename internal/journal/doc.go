// Package journal stores the requests accepted by this daemon, with the
// numbered events of their answers. A caller's connection only reads from a
// record, so a slow or lost caller neither blocks nor loses an answer.
package journal
