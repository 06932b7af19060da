// Package objectapi is the stand-in of the platform's object API: versioned
// objects, conditional updates, watches, rate limits and outages.
package objectapi
