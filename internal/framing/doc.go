// Package framing deals with how the end of an HTTP response body is marked (RFC 9112,
// section 6.3): by a length, by chunks, or only by the end of the connection. The last
// does not show whether the body is complete, so a response that had it from its upstream
// must not get a length or chunks on the way to the caller. Until the upstream's end has been
// read, a protected server makes each end of the caller's connection a reset.
package framing
