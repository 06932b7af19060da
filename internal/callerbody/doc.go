// Package callerbody reads the bodies of callers' requests within a budget and in time, for
// all servers of callers.
package callerbody
