// Package intent records non-idempotent calls before they are dispatched, so
// that each runs at most once. Records are kept in the object API and are
// committed in groups by conditional update.
package intent
