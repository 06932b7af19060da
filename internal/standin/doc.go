// Package standin is the parent of the stand-ins: packages that simulate services
// of the platform for tests, demonstrations and scenarios. Each stand-in provides
// an http.Handler.
//
// The packages engine, service, objectapi, instances, cloud and weights simulate the
// environment of the program rattantided. The program standin runs them as processes.
// They share package control for their faults and logs. The packages runner,
// platformstore and platformcloud simulate the environment of the program
// rattantide-gateway. Package memnet connects tests with stand-ins in memory.
package standin
