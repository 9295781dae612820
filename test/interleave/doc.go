// Package interleave searches for orders of events by which a task runs twice at once. It
// simulates a few daemons, their links and their workers in virtual time; each daemon uses the
// product's own coordinator and executor. The simulation uses no network and no system clock: the
// base and the faults of a scenario determine its course, so that each violation is reproducible.
// The search runs the scenarios with up to two faults out of a list of single faults, and checks
// which runs the workers executed.
package interleave
