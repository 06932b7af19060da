// Package objecttest provides an in-memory objectclient.Store for tests, with
// switches for the faults of the object API: outages, lost answers, writes that
// take effect late, slow answers and stale reads.
package objecttest
