package callerbody

import (
	"context"

	"rattantide/internal/callerbudget"
)

type connKey struct{}

// WithConn returns a context for the requests of a connection that is charged to a budget of
// connections.
func WithConn(ctx context.Context, part *callerbudget.Part) context.Context {
	return context.WithValue(ctx, connKey{}, part)
}

// connOf returns the part of the connection of a request, or nil.
func connOf(ctx context.Context) *callerbudget.Part {
	part, _ := ctx.Value(connKey{}).(*callerbudget.Part)
	return part
}
