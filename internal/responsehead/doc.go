// Package responsehead checks the heads of HTTP/1.1 responses as they are received. The
// parsers of net/http accept heads that RFC 9112 does not allow, and guess what they mean,
// so that a faulty server's response could reach a caller as another one. A head that does
// not follow the grammar is no response: the read from its connection fails.
//
// The checks accept what RFC 9112 lets a recipient accept without changing the meaning of a
// head: lines that end with a line feed only (section 2.2), a status line without a reason and
// the space before it, and folded field lines (section 5.2).
package responsehead
