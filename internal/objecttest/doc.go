// Package objecttest provides an in-memory objectclient.Store for tests that can
// simulate faults of the object API: outages, lost responses, writes that take
// effect late, slow calls and stale reads.
package objecttest
