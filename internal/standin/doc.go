// Package standin holds what the stand-ins of the platform share. Each stand-in
// is a package below this one and an http.Handler of its own.
package standin
