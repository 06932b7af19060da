// Package standin is the parent of the stand-ins: packages that simulate services
// of the platform for tests, demonstrations and scenarios. Each stand-in provides
// an http.Handler. The packages control and memnet are shared by them and by
// tests.
package standin
