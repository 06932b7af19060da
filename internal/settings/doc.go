// Package settings reads the settings of a daemon from flags and RATTANTIDE_*
// environment variables, validates them and reports all findings at once.
package settings
