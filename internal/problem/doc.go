// Package problem defines the error responses of the system as RFC 9457 problem
// details. Each problem has a stable code and states whether the request was
// executed.
package problem
