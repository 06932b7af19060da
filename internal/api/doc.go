// Package api defines the objects that operators apply: service classes with
// their targets, workspaces, routes, pools, versions and version moves. Applied
// objects are decoded strictly and validated, and all findings are reported at
// once.
package api
