package versionmove

import "strings"

// routeSeparator separates the key of a version from the name of a route.
const routeSeparator = "\x00"

// Key returns the map key of a version of a service.
func Key(service, version string) string { return service + "/" + version }

// RouteKey returns the map key of the requests of a route to a version of a service.
func RouteKey(service, version, route string) string {
	return Key(service, version) + routeSeparator + route
}

// isKeyOf reports whether key is the key of a version of a service, with all routes.
func isKeyOf(service, key string) bool {
	return strings.HasPrefix(key, Key(service, "")) && !strings.Contains(key, routeSeparator)
}

// routeOf returns the route whose key for a version of a service this is, if it is one.
func routeOf(service, version, key string) (route string, ok bool) {
	return strings.CutPrefix(key, RouteKey(service, version, ""))
}
