// Package responsetest provides HTTP/1.1 responses with sound and with invalid heads, and
// servers that send bytes as they are, for the tests of everything that reads responses. It also
// runs servers as processes that can be killed within a response.
package responsetest
