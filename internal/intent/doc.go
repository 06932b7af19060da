// Package intent records non-idempotent calls before they are dispatched, so
// that each runs at most once. Records are stored in the object API and are
// committed in groups by conditional updates.
package intent
