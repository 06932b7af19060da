package callerbody

import (
	"context"

	"rattantide/internal/callerbudget"
)

type connKey struct{}

// WithConn returns a context for the requests of a connection that is charged to a budget of
// connections.
func WithConn(ctx context.Context, reservation *callerbudget.Reservation) context.Context {
	return context.WithValue(ctx, connKey{}, reservation)
}

// connOf returns the reservation of the connection of a request, or nil.
func connOf(ctx context.Context) *callerbudget.Reservation {
	reservation, _ := ctx.Value(connKey{}).(*callerbudget.Reservation)
	return reservation
}
