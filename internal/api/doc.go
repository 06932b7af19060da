// Package api holds the objects that operators apply: classes of work with
// their targets, workspaces, routes, pools, versions and version moves. It
// decodes them strictly and validates them, reporting all findings at once.
package api
