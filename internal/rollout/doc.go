// Package rollout carries out version moves. A Guard on each daemon collects
// evidence, enforces the share and stops a bad version at once; a Controller,
// as holder of the move's lease, advances the share and ends the move by its
// deadline. The decisions are pure functions of evidence and time.
package rollout
