// Package objectclient is the client of the platform's object API, which
// provides versioned objects, conditional updates and watches. All durable state
// is stored there.
package objectclient
