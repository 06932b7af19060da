// Package admin serves the administration API under /admin/v1/: the objects
// that operators apply, the status of this daemon, explanations of the state of
// requests, the burn of service-level budgets, and drain. It also contains the
// bearer token middleware that the peer API uses.
package admin
