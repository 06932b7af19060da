// Package rollout carries out version moves. The Guard of each daemon collects
// evidence, enforces the share of traffic and stops sending to a bad version at
// once. The Controller of the daemon that holds the move's lease advances the
// share and ends the move by its deadline. The decisions are pure functions of the
// evidence and the time. Command rattantided uses this package; command
// rattantide-gateway uses package versionmove instead.
package rollout
