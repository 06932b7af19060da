// Package problem writes and reads RFC 9457 problem details. Each problem has
// a stable code and says truthfully whether the request ran.
package problem
