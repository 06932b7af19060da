// Package responsetest provides servers that send bytes as they are, for the tests of everything
// that reads HTTP/1.1 responses.
package responsetest
