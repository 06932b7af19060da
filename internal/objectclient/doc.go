// Package objectclient is the client of the platform's object API: versioned
// objects, conditional updates and watches. What must last lives there.
package objectclient
