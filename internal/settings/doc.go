// Package settings reads a daemon's settings from flags and RATTANTIDE_*
// environment variables and checks them as a whole.
package settings
