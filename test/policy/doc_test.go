// Package policy measures how well coordinators and executors decide under load: their
// state machines, many of them, against modeled workers and callers in simulated time. A
// test names the pattern of load that it answers. Nothing is sent and no clock is read, so
// a seed always gives the same figures.
package policy
