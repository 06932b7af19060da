// Package admin serves the administration API under /admin/v1/: the objects
// that operators apply, the status of this daemon, explanations of waiting
// requests, service-level burn, and drain. It also has the bearer-token
// middleware that the peer API uses.
package admin
