// Package lease keeps one lease per duty in the object API, so that a duty has
// at most one holder that may act. A lease expires in the store's time; a
// holder stops earlier, by its own monotonic clock, and its fencing token is
// the version of the lease object at acquisition.
package lease
