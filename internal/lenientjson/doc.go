// Package lenientjson decodes JSON that holds values of several writers, so that one odd value
// does not make the others unreadable.
package lenientjson
