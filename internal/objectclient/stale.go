package objectclient

import "context"

// staleKey is the context key of AllowStale.
type staleKey struct{}

// AllowStale returns a context in which reads may return data that is some seconds old,
// for stores in which such reads cost less. Only Get and List observe it.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// IsStaleAllowed reports whether ctx comes from AllowStale.
func IsStaleAllowed(ctx context.Context) bool { return ctx.Value(staleKey{}) != nil }
