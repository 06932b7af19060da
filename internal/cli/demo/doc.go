// Package demo starts the platform's stand-ins and three daemons as processes
// on loopback addresses, drives real traffic through every feature, and says
// of each whether it worked, with figures.
package demo
