// Package objectapi simulates the object API of the platform: versioned objects,
// conditional updates, watches, rate limits and outages.
package objectapi
