// Package lease maintains one lease per duty in the object API, so that at most
// one daemon may perform a duty at a time. A lease expires by the store's clock.
// Its holder stops earlier, by its own monotonic clock. The fencing token of a
// holder is the version of the lease object at acquisition.
package lease
