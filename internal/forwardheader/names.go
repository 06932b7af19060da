// Package forwardheader names the headers of a request that one daemon forwards to another,
// and of its response.
package forwardheader

const (
	// By holds the name of the daemon that forwards the request.
	By = "Rattantide-Forwarded-By"
	// Token holds the token of the daemons on the own interface, where callers use the same
	// port; without it the request counts as a caller's.
	Token = "Rattantide-Peer-Token"
	// Caller holds the address of the caller.
	Caller = "Rattantide-Caller"
	// Config holds the version of the configuration that allowed the request.
	Config = "Rattantide-Config"
	// Sends holds how often the request was sent to upstreams before.
	Sends = "Rattantide-Sends"
	// NotHelped is set in the response if the daemon did not and will not run the request, and
	// another daemon may.
	NotHelped = "Rattantide-Not-Helped"
)
