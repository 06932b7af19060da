// Package standin is the parent of the packages that simulate services of the
// platform for tests, demonstrations and scenarios. Each package below it
// provides one simulated service as an http.Handler, or code that they share.
package standin
