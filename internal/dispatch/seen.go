package dispatch

// Seen is what an attempt tells about its upstream.
type Seen struct {
	// OK says that the upstream answered, be it with an error.
	OK bool
	// Draining says that the upstream itself said that it is leaving.
	Draining bool
	// Lost says that the connection was refused or lost, or made no progress.
	Lost bool
}
