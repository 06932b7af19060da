// Package demo starts stand-ins for the platform and three daemons as processes
// on loopback addresses, demonstrates every feature with real traffic, and reports
// for each whether it worked, with figures.
package demo
